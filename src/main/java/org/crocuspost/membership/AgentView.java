package org.crocuspost.membership;

import java.util.List;
import java.util.Optional;

/**
 * Holds the processes to which an agent may connect, as far as they are known to it.
 *
 * @param entries the listed entries; after a search of the table some may have ended
 * @param shardHolder the scheduler of the agent's failure domain, if known
 */
public record AgentView(List<Member> entries, Optional<ShardHolderMember> shardHolder) {

	/**
	 * The view of an agent to which no process is known.
	 */
	public static final AgentView NONE = new AgentView(List.of(), Optional.empty());

	public AgentView {
		entries = List.copyOf(entries);
	}

}
