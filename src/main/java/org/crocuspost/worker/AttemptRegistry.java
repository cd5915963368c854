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
 * The attempts that the agent answers for: those that run and those that ended and are
 * not yet recorded by the scheduler. The worker runtime is the authority; the registry
 * follows it.
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
	 * Follows the runtime. An attempt that should run but that the runtime does not list
	 * is stopped, so that it is refused for ever, and then counts as stopped.
	 */
	void follow() {
		Either<Failure, Seq<TaskState>> listed = this.runtime.list();
		if (listed.isLeft()) {
			return;
		}
		this.synchronizedOnce = true;
		Map<AttemptKey, TaskState> states = new LinkedHashMap<>();
		listed.get().forEach((state) -> states.put(state.attempt(), state));
		states.values().forEach((state) -> put(state, 0));
		for (Attempt attempt : List.copyOf(this.attempts.values())) {
			if (attempt.running() && !states.containsKey(attempt.key())) {
				stop(attempt.key());
			}
		}
		this.runtime.usage().forEach((reports) -> reports.forEach(this::measured));
	}

	/**
	 * Says whether the runtime has been listed since the agent started. Before that the
	 * agent does not know what runs.
	 * @return true if it has
	 */
	boolean complete() {
		return this.synchronizedOnce;
	}

	void put(TaskState state, long epoch) {
		Attempt known = this.attempts.get(state.attempt());
		if (known == null) {
			this.attempts.put(state.attempt(), new Attempt(state, epoch, Stopwatch.start(this.clock)));
		}
		else if (known.running()) {
			known.update(state);
		}
	}

	Option<Attempt> find(AttemptKey key) {
		return Option.of(this.attempts.get(key));
	}

	Either<Failure, TaskState> stop(AttemptKey key) {
		Either<Failure, TaskState> stopped = this.runtime.stop(key);
		stopped.forEach((state) -> put(state, 0));
		return stopped;
	}

	void checkpoint(AttemptKey key) {
		Attempt attempt = this.attempts.get(key);
		if (attempt == null || !attempt.running()) {
			return;
		}
		this.runtime.checkpoint(key).forEach(attempt::update);
		this.attempts.put(key, attempt.checkpointed(Stopwatch.start(this.clock)));
	}

	void checkpointDue(Duration interval) {
		List<AttemptKey> due = this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.checkpointDue(interval))
			.map(Attempt::key)
			.toList();
		due.forEach(this::checkpoint);
	}

	void renew(Duration lease) {
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

	Resources held() {
		return running().stream().map(Attempt::held).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Finds the attempt that exceeds its reservation of memory the most.
	 * @return the attempt, or empty if none exceeds it
	 */
	Optional<Attempt> largestMemoryExcess() {
		return running().stream()
			.filter((attempt) -> attempt.memoryExcess() > 0)
			.max(Comparator.comparingLong(Attempt::memoryExcess));
	}

	private void measured(UsageReport usage) {
		Attempt attempt = this.attempts.get(usage.attempt());
		if (attempt != null) {
			attempt.measured(usage);
		}
	}

}
