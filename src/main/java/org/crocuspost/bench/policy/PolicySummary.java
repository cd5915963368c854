package org.crocuspost.bench.policy;

/**
 * Measures of a policy over all runs.
 *
 * @param policy the policy
 * @param tail tail latency at the peaks relative to that without batch work
 * @param wholeTail tail latency of all requests relative to that without batch work
 * @param throughput batch work relative to that without control
 * @param evictions evictions in a run
 * @param evictionShare evictions relative to those of evict-on-breach
 * @param domainWork work while a failure domain leaves and returns
 * @param merit figure of merit
 * @param meritBehindLearned by how much the learned policy is ahead, in pairs of runs
 * @param violations broken promises
 */
record PolicySummary(String policy, ConfidenceInterval tail, ConfidenceInterval wholeTail,
		ConfidenceInterval throughput, ConfidenceInterval evictions, ConfidenceInterval evictionShare,
		ConfidenceInterval domainWork, ConfidenceInterval merit, ConfidenceInterval meritBehindLearned,
		int violations) {
}
