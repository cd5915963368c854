package org.crocuspost.bench.policy;

/**
 * Evicts tasks on behalf of a policy.
 */
@FunctionalInterface
interface TaskEvictor {

	/**
	 * Evicts a task from its worker and counts the eviction.
	 * @param task the task, which must be running
	 */
	void evict(BenchTask task);

}
