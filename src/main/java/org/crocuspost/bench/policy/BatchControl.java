package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Policy for batch work beside services.
 */
interface BatchControl {

	/**
	 * Returns the policy that chooses workers.
	 * @return the policy
	 */
	PlacementPolicy placement();

	/**
	 * Says whether tasks may start on a worker.
	 * @param worker the worker
	 * @param moment the time
	 * @return true if they may
	 */
	default boolean admits(BenchWorker worker, Moment moment) {
		return true;
	}

	/**
	 * Makes the decisions of one second on a worker.
	 * @param worker the worker
	 * @param moment the time
	 * @param evictions evicts tasks
	 */
	void control(BenchWorker worker, Moment moment, Evictions evictions);

}
