package org.crocuspost.worker;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.UsageReport;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Holds the attempts that the agent reports: those that run and those that have ended but
 * are not yet recorded by the scheduler. The worker runtime is authoritative; the
 * registry is updated from it.
 */
final class AttemptRegistry {

	private final WorkerRuntime runtime;

	private final Clock clock;

	private final Map<AttemptKey, Attempt> attempts = new LinkedHashMap<>();

	private boolean synchronizedOnce;

	AttemptRegistry(WorkerRuntime runtime, Clock clock) {
		this.runtime = runtime;
		this.clock = clock;
	}

	/**
	 * Updates the registry from the runtime. An attempt that should run but that the
	 * runtime does not list is stopped, so that the runtime refuses it permanently, and
	 * is then registered as stopped.
	 */
	void synchronizeWithRuntime() {
		Either<Failure, Seq<TaskState>> listed = this.runtime.list();
		if (listed.isLeft()) {
			return;
		}
		this.synchronizedOnce = true;
		Map<AttemptKey, TaskState> states = new LinkedHashMap<>();
		listed.get().forEach((state) -> states.put(state.attempt(), state));
		states.values().forEach((state) -> addOrUpdate(state, 0));
		for (Attempt attempt : List.copyOf(this.attempts.values())) {
			if (attempt.running() && !states.containsKey(attempt.key())) {
				stop(attempt.key());
			}
		}
		this.runtime.usage().forEach((reports) -> reports.forEach(this::updateUsage));
	}

	/**
	 * Returns whether the attempts of the runtime have been listed since the agent
	 * started. Before that the running attempts are unknown to the agent.
	 * @return true if they have been listed
	 */
	boolean isSynchronized() {
		return this.synchronizedOnce;
	}

	void addOrUpdate(TaskState state, long epoch) {
		Attempt existing = this.attempts.get(state.attempt());
		if (existing == null) {
			this.attempts.put(state.attempt(), new Attempt(state, epoch, Stopwatch.start(this.clock)));
		}
		else if (existing.running()) {
			existing.update(state);
		}
	}

	Option<Attempt> find(AttemptKey key) {
		return Option.of(this.attempts.get(key));
	}

	Either<Failure, TaskState> stop(AttemptKey key) {
		Either<Failure, TaskState> stopped = this.runtime.stop(key);
		stopped.forEach((state) -> addOrUpdate(state, 0));
		return stopped;
	}

	void checkpoint(AttemptKey key) {
		Attempt attempt = this.attempts.get(key);
		if (attempt == null || !attempt.running()) {
			return;
		}
		this.runtime.checkpoint(key).forEach(attempt::update);
		this.attempts.put(key, attempt.withLastCheckpoint(Stopwatch.start(this.clock)));
	}

	void checkpointDueAttempts(Duration interval) {
		List<AttemptKey> due = this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.isCheckpointDue(interval))
			.map(Attempt::key)
			.toList();
		due.forEach(this::checkpoint);
	}

	void renewLeases(Duration lease) {
		for (Attempt attempt : running()) {
			this.runtime.renew(attempt.key(), lease).forEach(attempt::update);
		}
	}

	void forget(AttemptKey key) {
		Attempt attempt = this.attempts.get(key);
		if (attempt != null && !attempt.running()) {
			this.runtime.forget(key);
			this.attempts.remove(key);
		}
	}

	List<Attempt> running() {
		return this.attempts.values().stream().filter(Attempt::running).toList();
	}

	List<Attempt> all() {
		return List.copyOf(this.attempts.values());
	}

	Resources occupiedResources() {
		return running().stream().map(Attempt::occupiedResources).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Returns the running attempt that exceeds its memory reservation by the largest
	 * amount.
	 * @return the attempt, or empty if no attempt exceeds its reservation
	 */
	Optional<Attempt> largestMemoryExcess() {
		return running().stream()
			.filter((attempt) -> attempt.excessMemoryMebibytes() > 0)
			.max(Comparator.comparingLong(Attempt::excessMemoryMebibytes));
	}

	private void updateUsage(UsageReport usage) {
		Attempt attempt = this.attempts.get(usage.attempt());
		if (attempt != null) {
			attempt.updateUsage(usage);
		}
	}

}
