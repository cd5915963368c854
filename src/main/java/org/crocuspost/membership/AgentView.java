package org.crocuspost.membership;

import java.util.List;
import java.util.Optional;

/**
 * What an agent knows of the processes that it connects to.
 *
 * @param entries the live entries
 * @param shardHolder the scheduler of the agent's failure domain, if known
 */
public record AgentView(List<Member> entries, Optional<ShardHolderMember> shardHolder) {

	/**
	 * Nobody is known.
	 */
	public static final AgentView NONE = new AgentView(List.of(), Optional.empty());

	public AgentView {
		entries = List.copyOf(entries);
	}

}
