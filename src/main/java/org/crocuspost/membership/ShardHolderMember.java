package org.crocuspost.membership;

import java.util.Objects;

/**
 * Shard holder: the live scheduler that holds the scheduling lease of a failure domain.
 *
 * @param failureDomain the failure domain
 * @param epoch the epoch of the scheduling lease; a higher epoch supersedes a lower one
 * @param scheduler the scheduler
 */
public record ShardHolderMember(String failureDomain, long epoch, Member scheduler) {

	public ShardHolderMember {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(scheduler, "scheduler");
	}

}
