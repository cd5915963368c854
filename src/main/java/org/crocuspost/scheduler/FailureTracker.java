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
 * Tells workers that fail everything from jobs that fail everywhere.
 *
 * <p>
 * A worker is put on probation once tasks of several jobs have failed there in a row. A
 * job is held once its tasks have failed on several workers in a row. Counting failures
 * per task alone would give up tasks that met a bad worker; counting per worker alone
 * would blame workers for a broken job. Example: one job whose tasks fail on workers A, B
 * and C is held and no worker is blamed; three jobs that fail on worker A put A on
 * probation and none of their failures counts against the tasks from then on.
 */
final class FailureTracker {

	private static final int JOBS_BEFORE_PROBATION = 3;

	private static final int WORKERS_BEFORE_HOLD = 4;

	private static final Duration PROBATION = Duration.ofMinutes(10);

	private static final Duration HOLD = Duration.ofMinutes(5);

	private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(2);

	private static final int MOST_DOUBLINGS = 5;

	private final Clock clock;

	private final Map<String, Set<String>> jobsByWorker = new HashMap<>();

	private final Map<String, Set<String>> workersByJob = new HashMap<>();

	private final Map<String, Stopwatch> probations = new HashMap<>();

	private final Map<String, Stopwatch> holds = new HashMap<>();

	private final Map<String, Delay> delays = new HashMap<>();

	FailureTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that an attempt did its work.
	 * @param task the row before the transition
	 */
	synchronized void succeeded(TaskRecord task) {
		this.delays.remove(task.taskId());
		this.jobsByWorker.remove(task.worker());
		this.workersByJob.remove(task.job());
		this.probations.remove(task.worker());
		this.holds.remove(task.job());
	}

	/**
	 * Notes that an attempt failed.
	 * @param task the row before the transition
	 * @return true if the failure counts against the task, false if the worker is to
	 * blame
	 */
	synchronized boolean failed(TaskRecord task) {
		int doublings = Math.min(task.failures(), MOST_DOUBLINGS);
		this.delays.put(task.taskId(),
				new Delay(Stopwatch.start(this.clock), FIRST_RETRY_DELAY.multipliedBy(1L << doublings)));
		Set<String> jobs = this.jobsByWorker.computeIfAbsent(task.worker(), (worker) -> new HashSet<>());
		jobs.add(task.job());
		if (jobs.size() >= JOBS_BEFORE_PROBATION) {
			this.probations.put(task.worker(), Stopwatch.start(this.clock));
			EventLog.warn(SchedulerEvent.WORKER_ON_PROBATION, Field.of("worker", task.worker()));
			this.workersByJob.values().forEach((workers) -> workers.remove(task.worker()));
			return false;
		}
		Set<String> workers = this.workersByJob.computeIfAbsent(task.job(), (job) -> new HashSet<>());
		workers.add(task.worker());
		if (workers.size() >= WORKERS_BEFORE_HOLD) {
			this.holds.put(task.job(), Stopwatch.start(this.clock));
			EventLog.warn(SchedulerEvent.JOB_HELD, Field.of("job", task.job()));
			this.jobsByWorker.values().forEach((failed) -> failed.remove(task.job()));
		}
		return true;
	}

	/**
	 * Says whether a failed task waits before it is tried again. The delay doubles with
	 * each failure.
	 * @param taskId the identity of the task
	 * @return true if it waits
	 */
	synchronized boolean delayed(String taskId) {
		Delay delay = this.delays.get(taskId);
		if (delay == null) {
			return false;
		}
		if (!active(delay.start(), delay.length())) {
			this.delays.remove(taskId);
			return false;
		}
		return true;
	}

	synchronized boolean onProbation(String worker) {
		return active(this.probations.get(worker), PROBATION);
	}

	synchronized boolean held(String job) {
		return active(this.holds.get(job), HOLD);
	}

	private static boolean active(@Nullable Stopwatch start, Duration length) {
		return start != null && start.observerElapsed().compareTo(length) < 0;
	}

	private record Delay(Stopwatch start, Duration length) {
	}

}
