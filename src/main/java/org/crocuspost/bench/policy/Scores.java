package org.crocuspost.bench.policy;

/**
 * Measures of one run relative to the reference runs with the same workload.
 *
 * @param tail the tail latency of the requests at the peaks, relative to that without
 * batch work
 * @param wholeTail the tail latency of all requests, relative to that without batch work
 * @param throughput the useful batch work, relative to that without control
 * @param evictions the number of evictions
 * @param evictionShare the evictions, relative to those of evict-on-breach
 * @param domainWork the work done while a failure domain is taken out of service and
 * returns: the mean of the share of requests within the objective and of the batch work
 * relative to that without control
 * @param merit the figure of merit: the weighted sum of the measures, each mapped to the
 * range 0 to 1
 */
record Scores(double tail, double wholeTail, double throughput, double evictions, double evictionShare,
		double domainWork, double merit) {

	static Scores of(RunResult run, References references, MeritWeights weights) {
		double tail = run.peakTailMilliseconds() / references.batchFree().peakTailMilliseconds();
		double wholeTail = run.tailMilliseconds() / references.batchFree().tailMilliseconds();
		double throughput = run.coreSeconds() / references.noControl().coreSeconds();
		double evictionShare = run.evictions() / Math.max(1.0, references.evictOnBreach().evictions());
		double domainBatch = Math.min(1, run.domainCoreSeconds() / references.noControl().domainCoreSeconds());
		double domainWork = (run.domainGoodShare() + domainBatch) / 2;
		double merit = weights.tail() * Math.min(1, 1 / tail) + weights.throughput() * Math.min(1, throughput)
				+ weights.evictions() * (1 - Math.min(1, evictionShare)) + weights.domainWork() * domainWork;
		return new Scores(tail, wholeTail, throughput, run.evictions(), evictionShare, domainWork, merit);
	}

	/**
	 * Runs of the same workload to which the other runs are compared.
	 *
	 * @param batchFree the run without batch work
	 * @param noControl the run without control
	 * @param evictOnBreach the run that evicts a task when a service misses its objective
	 */
	record References(RunResult batchFree, RunResult noControl, RunResult evictOnBreach) {
	}

}
