package org.crocuspost.bench.policy;

/**
 * Evicts tasks on behalf of a policy.
 */
@FunctionalInterface
interface Evictions {

	/**
	 * Evicts a task from its worker and counts it.
	 * @param task the task, which runs
	 */
	void evict(BenchTask task);

}
