package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Holds the durations and thresholds of the scheduling decisions.
 *
 * @param leaseDuration how long a worker continues to run tasks after the last lease
 * extension; the upper bound that the platform guarantees
 * @param retention how long the state of an ended job is kept
 * @param remotePenalty the factor by which the run time grows away from the data
 * @param admissionControl whether the leader publishes the figures by which entry
 * processes reject jobs that could not end while of use
 */
public record DispatchSettings(Duration leaseDuration, Duration retention, double remotePenalty,
		boolean admissionControl) {

	/**
	 * Factor by which the clock of a worker may run slower than the clock of this
	 * process, according to the documentation of the platform.
	 */
	static final double CLOCK_DRIFT_FACTOR = 1.02;

	/**
	 * Difference between the clocks of two hosts that is taken into account. Longer ages
	 * of jobs are relied upon.
	 */
	static final Duration MAXIMUM_CLOCK_DIFFERENCE = Duration.ofMillis(2_500);

	/**
	 * Allowance for the network delay of the answer that extends a lease and for timers
	 * that fire late.
	 */
	static final Duration LEASE_TIMEOUT_MARGIN = Duration.ofMillis(300);

	/**
	 * Time for which the state of an ended job is kept after callers can no longer query
	 * it.
	 */
	public static final Duration RETENTION_MARGIN = Duration.ofSeconds(30);

	/**
	 * Time window that a worker's load report covers, according to the documentation of
	 * the platform.
	 */
	static final Duration LOAD_REPORT_WINDOW = Duration.ofMillis(500);

	/**
	 * Time from the first report of a service after which its tail latency shows the
	 * fillers beside it. Until then, a part of the report's window lies before its start.
	 */
	static final Duration SERVICE_SETTLING = Duration.ofMillis(1_000);

	/**
	 * Pace in percent below which a filler that can resume elsewhere is stopped on a
	 * worker that runs a service.
	 */
	static final int MINIMUM_FILLER_PACE = 45;

	/**
	 * Progress in percent up to which a slow filler without checkpoints starts again
	 * elsewhere.
	 */
	static final int MAXIMUM_DISCARDED_PROGRESS = 25;

	/**
	 * Time for which a filler must have been slow before it is stopped although no worker
	 * without services is free. The pace control corrects a wrong pace within two of its
	 * intervals.
	 */
	static final Duration SLOW_FILLER_TIMEOUT = Duration.ofMillis(1_000);

	/**
	 * Time for which no filler of the same image is placed on a worker that runs a
	 * service after one was stopped there for its low pace. The load of a service changes
	 * within seconds.
	 */
	static final Duration IMAGE_BACK_OFF = Duration.ofSeconds(2);

	/**
	 * Time without any running task after which a job accepts any worker with enough free
	 * resources.
	 */
	static final Duration STARVATION_TIMEOUT = Duration.ofMillis(1_200);

	/**
	 * Reserved share of the processor capacity of a service's workers below which a job
	 * must not wait without any run. The limit of the platform is one half.
	 */
	static final double MAXIMUM_RESERVED_SHARE = 0.6;

	/**
	 * Share of its requested processor capacity below which a filler is not started. At
	 * half speed it misses an objective of twice its run time.
	 */
	static final double MINIMUM_FILLER_SHARE = 0.6;

	/**
	 * Run time assumed for a step without an estimate. A step that takes longer does not
	 * end soon even if it starts without waiting.
	 */
	static final Duration DEFAULT_ESTIMATE = Duration.ofSeconds(2);

	/**
	 * Number of consecutive failed runs, without a completed run in between, after which
	 * a worker is suspected to be faulty and quarantined. A single failure is common,
	 * since a few percent of all tasks fail for reasons of their own.
	 */
	static final int FAILURES_BEFORE_QUARANTINE = 2;

	/**
	 * Minimum time for which a worker suspected to be faulty gets no new task.
	 */
	static final Duration MINIMUM_QUARANTINE = Duration.ofSeconds(2);

	/**
	 * Maximum time for which a worker suspected to be faulty gets no new task.
	 */
	static final Duration MAXIMUM_QUARANTINE = Duration.ofSeconds(8);

	/**
	 * Time for which a worker gets no start after two in a row have led to no run. A
	 * refusal that has a passing reason, such as a lease that is being extended, is over
	 * by then.
	 */
	static final Duration MINIMUM_START_BACK_OFF = Duration.ofMillis(250);

	/**
	 * Maximum time for which a worker gets no start after several have led to no run.
	 */
	static final Duration MAXIMUM_START_BACK_OFF = Duration.ofSeconds(4);

	/**
	 * Time after the last failed start from which on a worker counts as sound again
	 * although no further start was tried. Longer than the longest time without a start.
	 */
	static final Duration START_FAILURE_MEMORY = Duration.ofSeconds(12);

	/**
	 * Time from an assignment after which its start is not kept any longer if it may not
	 * be ordered yet. The reasons for which its worker was chosen are out of date then.
	 */
	static final Duration MAXIMUM_START_HOLD = Duration.ofSeconds(3);

	/**
	 * Maximum duration of a scheduling pass after the long-running jobs, unless a single
	 * job takes longer. The leader reads nothing meanwhile, neither reports nor the
	 * answers that confirm it.
	 */
	static final Duration MAXIMUM_PASS_DURATION = Duration.ofMillis(150);

	/**
	 * Number of starts that wait to be recorded from which on only long-running tasks are
	 * assigned. The leader records 90 rows in a transaction; further starts would be out
	 * of date once they are recorded.
	 */
	static final int MAXIMUM_UNRECORDED_STARTS = 1_000;

	/**
	 * Time from an order after which its run counts as running only if it is listed. An
	 * order is recorded, sent and carried out within a few hundred milliseconds.
	 */
	static final Duration START_CONFIRMATION_TIMEOUT = Duration.ofMillis(1_000);

	/**
	 * Share of its requested processor capacity that a long-running task is assumed to
	 * use when the free capacity for fillers is computed. Long-running tasks are sized
	 * for their peaks.
	 */
	static final double LONG_RUNNING_UTILIZATION = 0.6;

	/**
	 * Time for which fillers must have waited for a worker before services are moved
	 * together to free one.
	 */
	static final Duration WAIT_BEFORE_CONSOLIDATION = Duration.ofMillis(1_000);

	/**
	 * Minimum time between two moves of a service, and after which a vacated worker is
	 * chosen for services again.
	 */
	static final Duration MINIMUM_TIME_BETWEEN_MOVES = Duration.ofSeconds(5);

	/**
	 * Time between two attempts to free a worker, so that the effect of one is known
	 * before the next, and since an attempt costs more than a scheduling pass.
	 */
	static final Duration CONSOLIDATION_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Maximum share of the tasks of services that are moved at the same time. Each is
	 * interrupted for about half a second.
	 */
	static final double MAXIMUM_MOVED_SHARE = 0.06;

	/**
	 * Number of tasks of services that may be moved at the same time in a small fleet. A
	 * full worker with 16 cores holds four or five.
	 */
	static final int MINIMUM_CONCURRENT_MOVES = 8;

	/**
	 * Capacity that stays free for short tasks while room is held for moves, in relation
	 * to what they use now.
	 */
	static final double SHORT_TASK_HEADROOM = 1.5;

	/**
	 * Maximum estimate of a batch task whose room counts as free when moves are planned:
	 * it is expected to end by itself before the run that takes its place is stopped.
	 */
	static final Duration MAXIMUM_SHORT_TASK = Duration.ofSeconds(2);

	/**
	 * Time that a stop of a run usually takes, from the decision to its reported end. No
	 * run is stopped that is expected to end sooner.
	 */
	static final Duration STOP_DURATION = Duration.ofMillis(500);

	/**
	 * Time after which runs that were expected to end by themselves, or room where a
	 * probation was expected to end, no longer count. A long-running task must be at work
	 * again within 3 s.
	 */
	static final Duration MAXIMUM_WAIT_FOR_ENDS = Duration.ofMillis(1_000);

	/**
	 * Time after the latest stop after which room for a long-running task is made on
	 * another worker, so that a worker that stops nothing does not use up the 3 s.
	 */
	static final Duration ROOM_TIMEOUT = Duration.ofMillis(2_000);

	/**
	 * Time between two attempts to find a worker on which room can be made for a task.
	 */
	static final Duration ROOM_ATTEMPT_INTERVAL = Duration.ofMillis(200);

	/**
	 * Maximum number of runs that are stopped for long-running tasks at the same time, so
	 * that an error in the figures of many tasks cannot stop all batch work. A worker
	 * with 16 cores holds about 60 of the smallest runs.
	 */
	static final int MAXIMUM_RUNS_STOPPED_FOR_ROOM = 64;

	/**
	 * Cost of another start of a stopped run, in core-seconds.
	 */
	static final double START_COST = 0.2;

	/**
	 * Time for which a run must have been listed as running before it no longer counts as
	 * a possible cause of a crash of its worker.
	 */
	static final Duration PROBATION = Duration.ofMillis(500);

	/**
	 * Time for which a run of a task must have been listed as running if
	 * {@link #CRASHED_RUNS_BEFORE_LONG_PROBATION} workers have crashed while they ran the
	 * task.
	 */
	static final Duration LONG_PROBATION = Duration.ofSeconds(5);

	/**
	 * Number of workers that crashed at any time while they ran a task from which on the
	 * task is suspected, even if other tasks had started later each time.
	 */
	static final int CRASHED_RUNS_BEFORE_LONG_PROBATION = 3;

	/**
	 * Number of workers that crashed under a task, without a run in between that outlived
	 * its probation, at which the task is given up if no other job may have caused the
	 * last crash. The platform allows two, and forbids three more starts after the third.
	 */
	static final int MAXIMUM_CRASHES = 3;

	/**
	 * Number of workers that crashed under a task from which on it starts without
	 * suspected tasks of other jobs beside it.
	 */
	static final int CRASHES_BEFORE_ISOLATION = 2;

	/**
	 * Maximum number of pairs of a task and a worker that an attempt to free workers
	 * looks at. They take a leader with a fifth of a core some ten milliseconds.
	 */
	static final int MAXIMUM_PACKING_CHECKS = 200_000;

	/**
	 * Time within which a second crash on one host makes the host unstable, and for which
	 * suspected tasks then start on other hosts, if there are any.
	 */
	static final Duration CRASH_MEMORY = Duration.ofSeconds(5);

	/**
	 * Maximum number of tasks that start their probation on one worker together.
	 */
	static final int MAXIMUM_PROBATION_GROUP = 6;

	/**
	 * Maximum share of the workers of a service with runs on probation, at which nothing
	 * else starts meanwhile.
	 */
	static final double MAXIMUM_PROBATION_SHARE = 0.5;

	/**
	 * Creates settings without admission control.
	 * @param leaseDuration how long a worker continues to run tasks after the last lease
	 * extension
	 * @param retention how long the state of an ended job is kept
	 * @param remotePenalty the factor by which the run time grows away from the data
	 */
	public DispatchSettings(Duration leaseDuration, Duration retention, double remotePenalty) {
		this(leaseDuration, retention, remotePenalty, false);
	}

	/**
	 * Returns the time after the last lease extension was sent by which the lease of the
	 * worker has certainly lapsed, with clock drift and delays included.
	 * @return the time since the last extension was sent
	 */
	public Duration leaseTimeout() {
		return Duration.ofMillis((long) (this.leaseDuration.toMillis() * CLOCK_DRIFT_FACTOR))
			.plus(LEASE_TIMEOUT_MARGIN);
	}

}
