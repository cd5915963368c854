package org.crocuspost.placement;

/**
 * Expected harm of running a job on a worker beside what runs there already.
 */
@FunctionalInterface
public interface PairPenalty {

	/**
	 * Penalty that is zero for every pair.
	 */
	PairPenalty NONE = (job, worker) -> 0;

	/**
	 * Returns the expected harm. Positive infinity forbids the pair.
	 * @param job the name of the job
	 * @param worker the worker
	 * @return the harm, at least 0 for none
	 */
	double cost(String job, WorkerSnapshot worker);

}
