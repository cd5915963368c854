package org.crocuspost.bench.policy;

/**
 * Measures of one run.
 *
 * @param policy the policy
 * @param function the interference function
 * @param seed the seed
 * @param tailMilliseconds the 99th percentile of the latency of all requests, averaged
 * over the services
 * @param peakTailMilliseconds the 99th percentile of the latency of the requests at the
 * peaks, averaged over the services
 * @param goodShare the share of requests within the latency objective
 * @param coreSeconds useful batch work in core seconds
 * @param evictions number of evictions by the policy
 * @param domainEvictions number of evictions because a failure domain was taken out of
 * service
 * @param domainCoreSeconds useful batch work in core seconds while a failure domain is
 * taken out of service and returns
 * @param domainGoodShare the share of requests within the latency objective in that time
 * @param violations number of violated invariants; 0 unless there is a fault
 */
record RunResult(PolicyKind policy, InterferenceFunction function, long seed, double tailMilliseconds,
		double peakTailMilliseconds, double goodShare, double coreSeconds, int evictions, int domainEvictions,
		double domainCoreSeconds, double domainGoodShare, int violations) {
}
