package org.crocuspost.scheduler;

import java.util.List;
import java.util.Map;

/**
 * Holds the planned claims and evictions of one scheduling round.
 *
 * @param claims the claims
 * @param evictions the tasks to evict in favor of urgent tasks
 * @param waits the reasons why tasks wait, by job name
 */
record ClaimPlan(List<Claim> claims, List<CachedTask> evictions, Map<String, JobWait> waits) {
}
