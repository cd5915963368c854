package org.crocuspost.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Which connections an agent keeps.
 *
 * @param agent the name of the agent
 * @param failureDomain the failure domain of the agent
 * @param entryConnections the most entries to connect to
 * @param linger how long a connection that is not chosen any more stays open, so that
 * requests in flight finish
 * @param search the time without connection to an entry after which the table is read
 * @param longestSearch the longest time between two reads of the table
 */
public record AgentConnectionSettings(String agent, String failureDomain, int entryConnections, Duration linger,
		Duration search, Duration longestSearch) {

	private static final Duration DEFAULT_LINGER = Duration.ofSeconds(30);

	private static final Duration DEFAULT_SEARCH = Duration.ofSeconds(2);

	private static final Duration DEFAULT_LONGEST_SEARCH = Duration.ofSeconds(10);

	public AgentConnectionSettings {
		Objects.requireNonNull(agent, "agent");
		Objects.requireNonNull(failureDomain, "failureDomain");
	}

	/**
	 * Creates settings with the default times.
	 * @param agent the name of the agent
	 * @param failureDomain the failure domain of the agent
	 * @param entryConnections the most entries to connect to
	 * @return the settings
	 */
	public static AgentConnectionSettings of(String agent, String failureDomain, int entryConnections) {
		return new AgentConnectionSettings(agent, failureDomain, entryConnections, DEFAULT_LINGER, DEFAULT_SEARCH,
				DEFAULT_LONGEST_SEARCH);
	}

}
