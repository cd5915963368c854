package org.crocuspost.placement;

/**
 * Cost function for the expected harm of running a job on a worker beside the workloads
 * that already run there.
 */
@FunctionalInterface
public interface PairPenalty {

	/**
	 * Penalty that is zero for every pair of a job and a worker.
	 */
	PairPenalty NONE = (job, worker) -> 0;

	/**
	 * Returns the expected harm. Positive infinity forbids the pair.
	 * @param job the name of the job
	 * @param worker the worker
	 * @return the harm, which is never negative; 0 if there is none
	 */
	double cost(String job, WorkerSnapshot worker);

}
