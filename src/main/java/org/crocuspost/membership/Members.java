package org.crocuspost.membership;

import java.util.List;
import java.util.Optional;

/**
 * Who is live, as one process sees it.
 *
 * @param entries the live entries in order of name
 * @param schedulers the live schedulers in order of name
 * @param shardHolders the holders of failure domains, as far as they are live
 */
public record Members(List<Member> entries, List<Member> schedulers, List<ShardHolderMember> shardHolders) {

	/**
	 * Nobody is known.
	 */
	public static final Members NONE = new Members(List.of(), List.of(), List.of());

	public Members {
		entries = List.copyOf(entries);
		schedulers = List.copyOf(schedulers);
		shardHolders = List.copyOf(shardHolders);
	}

	/**
	 * Finds the scheduler of a failure domain.
	 * @param failureDomain the failure domain
	 * @return the holder, or empty if none is known
	 */
	public Optional<ShardHolderMember> shardHolder(String failureDomain) {
		return this.shardHolders.stream().filter((holder) -> holder.failureDomain().equals(failureDomain)).findFirst();
	}

}
