package org.crocuspost.bench.policy;

/**
 * Measures of one run.
 *
 * @param policy the policy
 * @param function the interference function
 * @param seed the seed
 * @param tailMilliseconds the 99th percentile of all requests, averaged over services
 * @param peakTailMilliseconds the 99th percentile of the requests at the peaks
 * @param goodShare the share of requests within the objective
 * @param coreSeconds useful batch work
 * @param evictions evictions that the policy decided
 * @param domainEvictions evictions because a failure domain was taken out
 * @param domainCoreSeconds useful batch work while a failure domain leaves and returns
 * @param domainGoodShare the share of requests within the objective in that time
 * @param violations broken promises; 0 unless there is a fault
 */
record RunResult(PolicyKind policy, InterferenceFunction function, long seed, double tailMilliseconds,
		double peakTailMilliseconds, double goodShare, double coreSeconds, int evictions, int domainEvictions,
		double domainCoreSeconds, double domainGoodShare, int violations) {
}
