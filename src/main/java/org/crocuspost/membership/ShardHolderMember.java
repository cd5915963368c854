package org.crocuspost.membership;

import java.util.Objects;

/**
 * The scheduler that holds a failure domain.
 *
 * @param failureDomain the failure domain
 * @param epoch the epoch of the scheduling lease
 * @param scheduler the scheduler
 */
public record ShardHolderMember(String failureDomain, long epoch, Member scheduler) {

	public ShardHolderMember {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(scheduler, "scheduler");
	}

}
