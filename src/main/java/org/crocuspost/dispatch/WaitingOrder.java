package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;

/**
 * Order in which waiting jobs get workers.
 *
 * <p>
 * Load pattern: for seconds more work comes than fits. Lasting services go first, since
 * their users wait without them. Then come the jobs that can still meet their objective,
 * by priority and the time that is left. Jobs that cannot be in time any more go last,
 * the smallest first: a worker given to them makes another job late too.
 */
final class WaitingOrder {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Share of the remaining run time below which a job cannot be in time any more. Tasks
	 * that have begun count whole, and estimates are off by a fifth.
	 */
	private static final double NEEDED_SHARE = 0.5;

	private WaitingOrder() {
	}

	/**
	 * Returns the objective of a job: the time by which it should be done.
	 * @param queue the queue of the job
	 * @param specification the job
	 * @return the time from its acceptance
	 */
	static Duration objective(Queue queue, JobSpecification specification) {
		return Duration.ofMillis((long) (longestChain(specification).toMillis() * queue.stretch()))
			.plus(queue.targetLatency());
	}

	/**
	 * Returns the run time of the longest chain of steps by their estimates.
	 * @param specification the job
	 * @return the time
	 */
	static Duration longestChain(JobSpecification specification) {
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
	 * Returns the run time of the longest chain of steps that are not done yet.
	 * @param job the job
	 * @return the time; steps that have begun count whole
	 */
	static Duration remainingChain(JobProgress job) {
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
	 * @param queue its queue
	 * @param seenNanos when the leader learned of the job
	 * @param nowNanos the present time
	 * @return the rank
	 */
	static Rank rank(JobProgress job, Queue queue, long seenNanos, long nowNanos) {
		JobSpecification specification = job.submission().specification();
		if (specification.longRunning()) {
			return new Rank(0, queue.priority(), seenNanos / NANOS_PER_MILLI);
		}
		long objectiveNanos = objective(queue, specification).toNanos();
		long leftNanos = seenNanos + objectiveNanos - nowNanos;
		boolean late = leftNanos < remainingChain(job).toNanos() * NEEDED_SHARE;
		return late ? new Rank(2, queue.priority(), job.unfinishedTaskCount())
				: new Rank(1, queue.priority(), (seenNanos + objectiveNanos) / NANOS_PER_MILLI);
	}

	/**
	 * Rank of a job.
	 *
	 * @param group 0 for lasting services, 1 for jobs in time, 2 for late jobs
	 * @param priority priority of the queue; 0 goes first
	 * @param order within the group and priority: the time by which the job should be
	 * done or, for late jobs, the number of tasks that are left; the smallest goes first
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
