package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;

/**
 * Defines the order in which waiting jobs get workers.
 *
 * <p>
 * The order matters when more work arrives for some seconds than the workers can run.
 * Long-running services go first, since their users cannot be served without them. Jobs
 * that can still meet their objective follow, then those that are late but still of use,
 * then all others.
 *
 * <p>
 * Within these groups and their priority, jobs are ordered by the work that is left of
 * them in relation to their value, so that jobs that were begun are finished before
 * others begin. Example: ten jobs of 50 tasks wait for workers that run 50 tasks in the
 * time of one objective. Ordered by deadline, each new job takes the workers from the one
 * before, which is late soon, and nearly all tasks are done for jobs that end late. In
 * this order one job after the other is done in time. The value grows with the size of a
 * job, so that large jobs are not put off by every small one.
 */
final class WaitingOrder {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final double MILLIS = 1_000;

	static final int LASTING = 0;

	static final int IN_TIME = 1;

	static final int LATE = 2;

	static final int LATE_BEYOND_USE = 3;

	/**
	 * Group of the jobs that {@link JobSelection} defers.
	 */
	static final int DEFERRED = 4;

	/**
	 * Multiple of the objective up to which a late job is of use to its caller, according
	 * to the documentation of the platform.
	 */
	static final int MAXIMUM_LATENESS = 3;

	/**
	 * Maximum latency objective, whatever the configuration of the queue says. Multiples
	 * of it are counted in nanoseconds.
	 */
	private static final Duration MAXIMUM_OBJECTIVE = Duration.ofDays(3_650);

	/**
	 * Minimum ratio of the time left until the objective to the estimated remaining run
	 * time at which a job still counts as in time. Below 1 because steps that have
	 * started count with their whole run time, and because estimates are off by a fifth.
	 */
	private static final double MINIMUM_TIME_SHARE = 0.5;

	private static final List<String> GROUP_LABELS = List.of("none", "in-time", "late", "late-beyond-use", "deferred");

	private WaitingOrder() {
	}

	/**
	 * Returns the group of a batch job's rank as it appears in logs.
	 * @param rank the rank
	 * @return the name of the group; none if the job was not ranked yet
	 */
	static String label(Rank rank) {
		return GROUP_LABELS.get(rank.group());
	}

	/**
	 * Returns the latency objective of a job: the time in which it should complete.
	 * @param queue the queue of the job
	 * @param specification the specification of the job
	 * @return the time from the acceptance of the job
	 */
	static Duration objective(Queue queue, JobSpecification specification) {
		double millis = Math.floor(criticalPath(specification).toMillis() * queue.stretch())
				+ queue.targetLatency().toMillis();
		return Duration.ofMillis((long) Math.max(0, Math.min(millis, MAXIMUM_OBJECTIVE.toMillis())));
	}

	/**
	 * Returns the estimated run time of the longest chain of dependent steps.
	 * @param specification the specification of the job
	 * @return the run time
	 */
	static Duration criticalPath(JobSpecification specification) {
		List<StepSpecification> steps = specification.steps();
		Duration[] finished = new Duration[steps.size()];
		Duration longest = Duration.ZERO;
		for (int number = 0; number < steps.size(); number++) {
			StepSpecification step = steps.get(number);
			Duration start = Duration.ZERO;
			for (int predecessor : step.predecessors()) {
				start = longer(start, finished[predecessor]);
			}
			finished[number] = start.plus(estimate(step));
			longest = longer(longest, finished[number]);
		}
		return longest;
	}

	static Duration estimate(StepSpecification step) {
		return step.estimate().isZero() ? DispatchSettings.DEFAULT_ESTIMATE : step.estimate();
	}

	private static Duration longer(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

	/**
	 * Returns the estimated run time of the longest chain of dependent steps that are not
	 * done yet.
	 * @param job the job
	 * @return the run time; steps that have started count with their whole run time
	 */
	static Duration remainingCriticalPath(JobProgress job) {
		List<StepSpecification> steps = job.submission().specification().steps();
		Duration[] finished = new Duration[steps.size()];
		Duration longest = Duration.ZERO;
		for (int number = 0; number < steps.size(); number++) {
			Duration start = Duration.ZERO;
			for (int predecessor : steps.get(number).predecessors()) {
				start = longer(start, finished[predecessor]);
			}
			boolean done = job.stepDone(0, number);
			finished[number] = done ? start : start.plus(estimate(steps.get(number)));
			longest = longer(longest, finished[number]);
		}
		return longest;
	}

	/**
	 * Returns the rank of a job; the smallest goes first.
	 * @param job the job
	 * @param queue the queue of the job
	 * @param acceptedNanos when the job was accepted, in nanoseconds of the process clock
	 * @param nowNanos the current time of the same clock
	 * @param meanWork the mean work of the jobs of the queue, in core-seconds
	 * @return the rank
	 */
	static Rank rank(JobProgress job, Queue queue, long acceptedNanos, long nowNanos, double meanWork) {
		JobSpecification specification = job.submission().specification();
		if (specification.longRunning()) {
			return new Rank(LASTING, queue.priority(), acceptedNanos / NANOS_PER_MILLI);
		}
		long objectiveNanos = objective(queue, specification).toNanos();
		long remainingNanos = acceptedNanos + objectiveNanos - nowNanos;
		long chainNanos = (long) (remainingCriticalPath(job).toNanos() * MINIMUM_TIME_SHARE);
		int group = LATE_BEYOND_USE;
		if (remainingNanos >= chainNanos) {
			group = IN_TIME;
		}
		else if (remainingNanos + (MAXIMUM_LATENESS - 1) * objectiveNanos >= chainNanos) {
			group = LATE;
		}
		return new Rank(group, queue.priority(), remainingWork(job) / (totalWork(specification) + meanWork));
	}

	/**
	 * Returns the estimated work of a job.
	 * @param specification the specification of the job
	 * @return the work of one occurrence, in core-seconds
	 */
	static double totalWork(JobSpecification specification) {
		double total = 0;
		for (StepSpecification step : specification.steps()) {
			total += step.taskCount() * work(step);
		}
		return total;
	}

	private static double remainingWork(JobProgress job) {
		double remaining = 0;
		for (TaskProgress task : job.allTasks()) {
			remaining += (task.status() == TaskStatus.DONE) ? 0 : work(task.step());
		}
		return remaining;
	}

	/**
	 * Returns the estimated work of a task.
	 * @param step the step of the task
	 * @return the work, in core-seconds
	 */
	static double work(StepSpecification step) {
		return step.milliCores() / MILLIS * estimate(step).toMillis() / MILLIS;
	}

	/**
	 * Rank of a job among the waiting jobs.
	 *
	 * @param group the group of the job; the smallest goes first
	 * @param priority the priority of the queue; 0 goes first
	 * @param selection the class within the group and priority by {@link JobSelection};
	 * the smallest goes first
	 * @param order the order within the class; the smallest goes first. For services, the
	 * time in milliseconds at which the job was accepted; for other jobs, the remaining
	 * work in relation to the value of the job
	 */
	record Rank(int group, int priority, int selection, double order) implements Comparable<Rank> {

		Rank(int group, int priority, double order) {
			this(group, priority, 0, order);
		}

		@Override
		public int compareTo(Rank other) {
			if (this.group != other.group) {
				return Integer.compare(this.group, other.group);
			}
			if (this.priority != other.priority) {
				return Integer.compare(this.priority, other.priority);
			}
			if (this.selection != other.selection) {
				return Integer.compare(this.selection, other.selection);
			}
			return Double.compare(this.order, other.order);
		}

	}

}
