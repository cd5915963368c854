package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;

/**
 * What a job needs until its end, according to its caller's estimates.
 *
 * @param timeOfUse the time from its acceptance after which its end is of no use
 * @param chain the run time of its longest chain of dependent steps
 * @param shared what its steps need that can run beside services
 * @param exclusive what its steps need that run only on workers without services
 */
public record JobDemand(Duration timeOfUse, Duration chain, Share shared, Share exclusive) {

	private static final int MILLIS = 1_000;

	/**
	 * Computes the demand of a job.
	 * @param queue the queue of the job
	 * @param specification the specification of the job
	 * @param exclusiveImages the images that run only on workers without services
	 * @return the demand
	 */
	public static JobDemand of(Queue queue, JobSpecification specification, Set<String> exclusiveImages) {
		return new JobDemand(WaitingOrder.objective(queue, specification).multipliedBy(WaitingOrder.MAXIMUM_LATENESS),
				WaitingOrder.criticalPath(specification), share(specification, exclusiveImages, false),
				share(specification, exclusiveImages, true));
	}

	private static Share share(JobSpecification specification, Set<String> exclusiveImages, boolean exclusive) {
		List<StepSpecification> steps = specification.steps();
		long[] finished = new long[steps.size()];
		long longest = 0;
		long work = 0;
		for (int number = 0; number < steps.size(); number++) {
			StepSpecification step = steps.get(number);
			for (int predecessor : step.predecessors()) {
				finished[number] = Math.max(finished[number], finished[predecessor]);
			}
			if (isExclusive(step, exclusiveImages) == exclusive) {
				finished[number] += WaitingOrder.estimate(step).toMillis();
				work += step.taskCount() * work(step);
			}
			longest = Math.max(longest, finished[number]);
		}
		return new Share(work, Duration.ofMillis(longest));
	}

	static boolean isExclusive(StepSpecification step, Set<String> exclusiveImages) {
		return step.filler() && exclusiveImages.contains(step.image());
	}

	/**
	 * Returns the estimated work of a task of a step.
	 * @param step the step
	 * @return the work in core-milliseconds
	 */
	static long work(StepSpecification step) {
		return step.milliCores() * WaitingOrder.estimate(step).toMillis() / MILLIS;
	}

	/**
	 * Demand for one kind of capacity.
	 *
	 * @param work the work in core-milliseconds; 0 if the job does not need this kind
	 * @param chain the run time of the longest chain of the steps that need it
	 */
	public record Share(long work, Duration chain) {
	}

}
