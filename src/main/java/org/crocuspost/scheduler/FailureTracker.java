package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.jspecify.annotations.Nullable;

/**
 * Distinguishes workers on which all tasks fail from jobs whose tasks fail on all
 * workers.
 *
 * <p>
 * A worker is put on probation once tasks of several jobs have failed there in a row. A
 * job is held once its tasks have failed on several workers in a row. Counting failures
 * per task alone would give up tasks that ran on a faulty worker; counting them per
 * worker alone would attribute the failures of a faulty job to its workers. Example: a
 * job whose tasks fail on workers A, B, C and D is held and none of these workers is put
 * on probation; three jobs that fail on worker A put A on probation, and from then on
 * none of their failures there counts against the tasks.
 */
final class FailureTracker {

	private static final int FAILED_JOBS_BEFORE_PROBATION = 3;

	private static final int FAILED_WORKERS_BEFORE_HOLD = 4;

	private static final Duration PROBATION_TIME = Duration.ofMinutes(10);

	private static final Duration HOLD_TIME = Duration.ofMinutes(5);

	private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(2);

	private static final int MAX_DOUBLINGS = 5;

	private final Clock clock;

	private final Map<String, Set<String>> failedJobsByWorker = new HashMap<>();

	private final Map<String, Set<String>> failedWorkersByJob = new HashMap<>();

	private final Map<String, Stopwatch> probations = new HashMap<>();

	private final Map<String, Stopwatch> holds = new HashMap<>();

	private final Map<String, RetryDelay> retryDelays = new HashMap<>();

	FailureTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that an attempt succeeded.
	 * @param task the row before the transition
	 */
	synchronized void recordSuccess(TaskRecord task) {
		this.retryDelays.remove(task.taskId());
		this.failedJobsByWorker.remove(task.worker());
		this.failedWorkersByJob.remove(task.job());
		this.probations.remove(task.worker());
		this.holds.remove(task.job());
	}

	/**
	 * Records that an attempt failed.
	 * @param task the row before the transition
	 * @return true if the failure counts against the task, false if it is attributed to
	 * the worker
	 */
	synchronized boolean recordFailure(TaskRecord task) {
		int doublings = Math.min(task.failures(), MAX_DOUBLINGS);
		this.retryDelays.put(task.taskId(),
				new RetryDelay(Stopwatch.start(this.clock), FIRST_RETRY_DELAY.multipliedBy(1L << doublings)));
		Set<String> jobs = this.failedJobsByWorker.computeIfAbsent(task.worker(), (worker) -> new HashSet<>());
		jobs.add(task.job());
		if (jobs.size() >= FAILED_JOBS_BEFORE_PROBATION) {
			this.probations.put(task.worker(), Stopwatch.start(this.clock));
			EventLog.warn(SchedulerEvent.WORKER_ON_PROBATION, Field.of("worker", task.worker()));
			this.failedWorkersByJob.values().forEach((workers) -> workers.remove(task.worker()));
			return false;
		}
		Set<String> workers = this.failedWorkersByJob.computeIfAbsent(task.job(), (job) -> new HashSet<>());
		workers.add(task.worker());
		if (workers.size() >= FAILED_WORKERS_BEFORE_HOLD) {
			this.holds.put(task.job(), Stopwatch.start(this.clock));
			EventLog.warn(SchedulerEvent.JOB_HELD, Field.of("job", task.job()));
			this.failedJobsByWorker.values().forEach((failed) -> failed.remove(task.job()));
		}
		return true;
	}

	/**
	 * Returns whether a failed task still waits before its next attempt. The delay
	 * doubles with each failure up to the maximum number of doublings.
	 * @param taskId the identity of the task
	 * @return true if the task still waits
	 */
	synchronized boolean isDelayed(String taskId) {
		RetryDelay delay = this.retryDelays.get(taskId);
		if (delay == null) {
			return false;
		}
		if (!isActive(delay.start(), delay.length())) {
			this.retryDelays.remove(taskId);
			return false;
		}
		return true;
	}

	synchronized boolean isOnProbation(String worker) {
		return isActive(this.probations.get(worker), PROBATION_TIME);
	}

	synchronized boolean isHeld(String job) {
		return isActive(this.holds.get(job), HOLD_TIME);
	}

	private static boolean isActive(@Nullable Stopwatch start, Duration length) {
		return start != null && start.observerElapsed().compareTo(length) < 0;
	}

	private record RetryDelay(Stopwatch start, Duration length) {
	}

}
