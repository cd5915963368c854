package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Policy for batch tasks on the workers of services: chooses workers, throttles tasks and
 * evicts them.
 */
interface BatchControl {

	/**
	 * Returns the policy that chooses the worker for a task.
	 * @return the placement policy
	 */
	PlacementPolicy placement();

	/**
	 * Returns whether tasks may start on a worker.
	 * @param worker the worker
	 * @param now the simulation time
	 * @return true if tasks may start
	 */
	default boolean admits(BenchWorker worker, SimulationTime now) {
		return true;
	}

	/**
	 * Throttles and evicts tasks of a worker. Called once in each simulated second.
	 * @param worker the worker
	 * @param now the simulation time
	 * @param evictor evicts tasks
	 */
	void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor);

}
