package org.crocuspost.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the settings of the connections that an agent keeps.
 *
 * @param agent the name of the agent
 * @param failureDomain the failure domain of the agent
 * @param entryConnections the maximum number of entries to connect to
 * @param linger how long a connection stays open after its entry is deselected, so that
 * requests in flight finish
 * @param searchDelay the time without a connection to an entry after which the table is
 * read
 * @param maximumSearchDelay the maximum time between two reads of the table
 */
public record AgentConnectionSettings(String agent, String failureDomain, int entryConnections, Duration linger,
		Duration searchDelay, Duration maximumSearchDelay) {

	private static final Duration DEFAULT_LINGER = Duration.ofSeconds(30);

	private static final Duration DEFAULT_SEARCH_DELAY = Duration.ofSeconds(2);

	private static final Duration DEFAULT_MAXIMUM_SEARCH_DELAY = Duration.ofSeconds(10);

	public AgentConnectionSettings {
		Objects.requireNonNull(agent, "agent");
		Objects.requireNonNull(failureDomain, "failureDomain");
	}

	/**
	 * Creates settings with the default times.
	 * @param agent the name of the agent
	 * @param failureDomain the failure domain of the agent
	 * @param entryConnections the maximum number of entries to connect to
	 * @return the settings
	 */
	public static AgentConnectionSettings of(String agent, String failureDomain, int entryConnections) {
		return new AgentConnectionSettings(agent, failureDomain, entryConnections, DEFAULT_LINGER, DEFAULT_SEARCH_DELAY,
				DEFAULT_MAXIMUM_SEARCH_DELAY);
	}

}
