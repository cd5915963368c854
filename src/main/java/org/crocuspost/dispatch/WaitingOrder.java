package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;

/**
 * Defines the order in which waiting jobs get workers.
 *
 * <p>
 * The order matters when more work arrives for some seconds than the workers can run.
 * Long-running services go first, since their users cannot be served without them. Jobs
 * that can still meet their objective follow, by priority and then by their deadline.
 * Jobs that can no longer meet their objective go last, by priority and then the smallest
 * first: a worker given to one of them makes another job late as well.
 */
final class WaitingOrder {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Minimum ratio of the time left until the objective to the estimated remaining run
	 * time at which a job still counts as in time. Below 1 because steps that have
	 * started count with their whole run time, and because estimates are off by a fifth.
	 */
	private static final double MINIMUM_TIME_SHARE = 0.5;

	private WaitingOrder() {
	}

	/**
	 * Returns the latency objective of a job: the time in which it should complete.
	 * @param queue the queue of the job
	 * @param specification the specification of the job
	 * @return the time from the acceptance of the job
	 */
	static Duration objective(Queue queue, JobSpecification specification) {
		return Duration.ofMillis((long) (criticalPath(specification).toMillis() * queue.stretch()))
			.plus(queue.targetLatency());
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

	private static Duration estimate(StepSpecification step) {
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
	 * @param firstSeenNanos when the leader first processed the job, in nanoseconds of
	 * the process clock
	 * @param nowNanos the current time of the same clock
	 * @return the rank
	 */
	static Rank rank(JobProgress job, Queue queue, long firstSeenNanos, long nowNanos) {
		JobSpecification specification = job.submission().specification();
		if (specification.longRunning()) {
			return new Rank(0, queue.priority(), firstSeenNanos / NANOS_PER_MILLI);
		}
		long objectiveNanos = objective(queue, specification).toNanos();
		long remainingNanos = firstSeenNanos + objectiveNanos - nowNanos;
		boolean late = remainingNanos < remainingCriticalPath(job).toNanos() * MINIMUM_TIME_SHARE;
		return late ? new Rank(2, queue.priority(), job.unfinishedTaskCount())
				: new Rank(1, queue.priority(), (firstSeenNanos + objectiveNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Rank of a job among the waiting jobs.
	 *
	 * @param group 0 for long-running services, 1 for jobs in time, 2 for late jobs
	 * @param priority the priority of the queue; 0 goes first
	 * @param order the order within the group and priority; the smallest goes first. For
	 * services, the time in milliseconds at which the leader first processed the job; for
	 * jobs in time, the time in milliseconds at which the job should be done; for late
	 * jobs, the number of remaining tasks
	 */
	record Rank(int group, int priority, double order) implements Comparable<Rank> {

		@Override
		public int compareTo(Rank other) {
			if (this.group != other.group) {
				return Integer.compare(this.group, other.group);
			}
			if (this.priority != other.priority) {
				return Integer.compare(this.priority, other.priority);
			}
			return Double.compare(this.order, other.order);
		}

	}

}
