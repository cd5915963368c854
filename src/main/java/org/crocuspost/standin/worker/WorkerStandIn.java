package org.crocuspost.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.UsageReport;
import org.crocuspost.platform.worker.WorkerRuntime;
import org.crocuspost.time.Clock;

/**
 * In-memory worker runtime. Attempts take their actual run time on the given clock, and
 * an expired lease stops an attempt. Keeps a record of every attempt that ran. Safe for
 * use by several threads.
 */
public final class WorkerStandIn implements WorkerRuntime {

	private final String worker;

	private final Clock clock;

	private final TaskBehaviors behaviors;

	private final WorkerFaults faults = new WorkerFaults();

	private final Map<AttemptKey, Run> runs = new LinkedHashMap<>();

	private final Set<AttemptKey> refusedAttempts = new HashSet<>();

	private final List<Run> history = new ArrayList<>();

	/**
	 * Creates an idle worker.
	 * @param worker the name of the worker
	 * @param clock the clock on which tasks run
	 * @param behaviors the actual behavior of tasks
	 */
	public WorkerStandIn(String worker, Clock clock, TaskBehaviors behaviors) {
		this.worker = worker;
		this.clock = clock;
		this.behaviors = behaviors;
	}

	/**
	 * Returns the fault settings.
	 * @return the settings
	 */
	public WorkerFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the records of all attempts that ran on this worker, in order of start.
	 * @return the records up to now
	 */
	public synchronized List<RunRecord> history() {
		updateProgress();
		return this.history.stream().map(Run::record).toList();
	}

	/**
	 * Stops all attempts immediately and discards them, as a host does that loses power.
	 * The worker then answers no calls.
	 */
	public synchronized void loseHost() {
		updateProgress();
		this.runs.values().forEach((run) -> run.stop(now()));
		this.runs.clear();
		this.faults.hostLost(true);
	}

	@Override
	public synchronized Either<Failure, TaskState> start(TaskStart start) {
		if (this.faults.isUnresponsive()) {
			return unavailable();
		}
		updateProgress();
		AttemptKey key = start.attempt();
		if (this.refusedAttempts.contains(key)) {
			return Either.left(ErrorCode.START_EXPIRED.with(key.taskId()));
		}
		if (!this.runs.containsKey(key)) {
			Run run = new Run(this.worker, start, behavior(start), now());
			this.runs.put(key, run);
			this.history.add(run);
		}
		return answer(this.runs.get(key).state());
	}

	private TaskBehavior behavior(TaskStart start) {
		TaskBehavior behavior = this.behaviors.of(start);
		if (this.faults.isFailingEverything()) {
			return new TaskBehavior(Duration.ZERO, behavior.used(), true);
		}
		Duration runTime = behavior.runTime().multipliedBy(this.faults.slowdownFactor());
		return new TaskBehavior(runTime, behavior.used(), behavior.fails());
	}

	@Override
	public Either<Failure, TaskState> renew(AttemptKey attempt, Duration lease) {
		return change(attempt, (run) -> run.renew(now(), lease));
	}

	@Override
	public Either<Failure, TaskState> checkpoint(AttemptKey attempt) {
		return change(attempt, Run::checkpoint);
	}

	@Override
	public Either<Failure, TaskState> throttle(AttemptKey attempt, int percent) {
		return change(attempt, (run) -> run.throttle(percent));
	}

	@Override
	public synchronized Either<Failure, TaskState> stop(AttemptKey attempt) {
		if (this.faults.isUnresponsive()) {
			return unavailable();
		}
		this.refusedAttempts.add(attempt);
		if (!this.runs.containsKey(attempt)) {
			return answer(
					new TaskState(attempt, "", TaskState.Phase.STOPPED, Resources.NONE, "", "it was never started"));
		}
		return change(attempt, (run) -> run.stop(now()));
	}

	@Override
	public synchronized Either<Failure, Seq<TaskState>> list() {
		if (this.faults.isUnresponsive()) {
			return unavailable();
		}
		updateProgress();
		return answer(Vector.ofAll(this.runs.values()).map(Run::state));
	}

	@Override
	public synchronized Either<Failure, TaskState> forget(AttemptKey attempt) {
		Either<Failure, TaskState> state = change(attempt, (run) -> {
		});
		if (state.isRight() && state.get().phase() != TaskState.Phase.RUNNING) {
			this.refusedAttempts.add(attempt);
			this.runs.remove(attempt);
		}
		return state;
	}

	@Override
	public synchronized Either<Failure, Seq<UsageReport>> usage() {
		if (this.faults.isUnresponsive()) {
			return unavailable();
		}
		updateProgress();
		Instant reportTime = now().minus(this.faults.lag());
		return answer(Vector.ofAll(this.runs.entrySet())
			.filter((entry) -> entry.getValue().running() && !entry.getValue().started().isAfter(reportTime))
			.map((entry) -> usage(entry.getKey(), entry.getValue())));
	}

	private UsageReport usage(AttemptKey attempt, Run run) {
		Resources used = run.behavior().used();
		long milliCores = Math.round(used.milliCores() * this.faults.usageFactor());
		return new UsageReport(attempt, new Resources(milliCores, used.memoryMebibytes(), used.accelerators()),
				this.faults.lag());
	}

	private synchronized Either<Failure, TaskState> change(AttemptKey attempt, Consumer<Run> action) {
		if (this.faults.isUnresponsive()) {
			return unavailable();
		}
		Run run = this.runs.get(attempt);
		if (run == null) {
			return Either.left(ErrorCode.NOT_FOUND.with("attempt " + attempt));
		}
		run.updateProgress(now());
		action.accept(run);
		return answer(run.state());
	}

	private <T> Either<Failure, T> answer(T value) {
		return this.faults.losesAnswers() ? unavailable() : Either.right(value);
	}

	private <T> Either<Failure, T> unavailable() {
		return Either.left(ErrorCode.WORKER_FAILED.with(this.worker, "no answer"));
	}

	private void updateProgress() {
		Instant now = now();
		this.runs.values().forEach((run) -> run.updateProgress(now));
	}

	private Instant now() {
		return this.clock.instant();
	}

}
