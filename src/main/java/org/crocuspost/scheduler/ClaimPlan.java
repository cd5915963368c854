package org.crocuspost.scheduler;

import java.util.List;
import java.util.Map;

/**
 * Result of the planning of one round.
 *
 * @param claims the claims
 * @param evictions the tasks to evict for urgent ones
 * @param waits why tasks wait, by job
 */
record ClaimPlan(List<Claim> claims, List<CachedTask> evictions, Map<String, JobWait> waits) {
}
