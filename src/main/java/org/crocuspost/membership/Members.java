package org.crocuspost.membership;

import java.util.List;
import java.util.Optional;

/**
 * Holds the live members, as observed by one process.
 *
 * @param entries the live entries in order of name
 * @param schedulers the live schedulers in order of name
 * @param shardHolders the live schedulers that hold a failure domain
 */
public record Members(List<Member> entries, List<Member> schedulers, List<ShardHolderMember> shardHolders) {

	/**
	 * No members.
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
