package org.crocuspost.bench.policy;

/**
 * Measures of a policy over all its runs.
 *
 * @param policy the name of the policy
 * @param tail tail latency of the requests at the peaks, relative to that without batch
 * work
 * @param wholeTail tail latency of all requests, relative to that without batch work
 * @param throughput useful batch work, relative to that without control
 * @param evictions evictions per run
 * @param evictionShare evictions, relative to those of evict-on-breach
 * @param domainWork work done while a failure domain is taken out of service and returns
 * @param merit figure of merit
 * @param meritBehindLearned figure of merit of the learned policy minus that of this
 * policy, for pairs of runs with the same workload
 * @param violations number of violated invariants
 */
record PolicySummary(String policy, ConfidenceInterval tail, ConfidenceInterval wholeTail,
		ConfidenceInterval throughput, ConfidenceInterval evictions, ConfidenceInterval evictionShare,
		ConfidenceInterval domainWork, ConfidenceInterval merit, ConfidenceInterval meritBehindLearned,
		int violations) {
}
