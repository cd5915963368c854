package org.crocuspost.scheduler;

import java.util.List;
import java.util.Map;

/**
 * Result of the planning of one round.
 *
 * @param claims the claims
 * @param waits why tasks wait, by job
 */
record ClaimPlan(List<Claim> claims, Map<String, JobWait> waits) {
}
