package org.crocuspost.distribution;

import java.util.List;

import org.crocuspost.configuration.Configuration;

/**
 * What one entry or scheduler knows of confirmations. Stands in the row of the process.
 *
 * @param version the version on which the process itself acts
 * @param agentsVersion the lowest version among the agents for which the process answers;
 * its own version if there are none
 * @param awaited agents that act on an older version than the process, at most
 * {@link #MAXIMUM_NAMED}
 */
public record ConfirmationSummary(long version, long agentsVersion, List<AwaitedProcess> awaited) {

	/**
	 * Greatest number of agents that are named.
	 */
	public static final int MAXIMUM_NAMED = 10;

	/**
	 * Nothing is confirmed.
	 */
	public static final ConfirmationSummary NONE = new ConfirmationSummary(0, 0, List.of());

	public ConfirmationSummary {
		awaited = List.copyOf(awaited);
	}

	/**
	 * Returns the summary of a process without agents.
	 * @param configuration the configuration on which the process acts
	 * @return the summary
	 */
	public static ConfirmationSummary of(Configuration configuration) {
		return new ConfirmationSummary(configuration.version(), configuration.version(), List.of());
	}

	/**
	 * Returns the lowest version in the summary.
	 * @return the version that the process and all its agents have reached
	 */
	public long lowestVersion() {
		return Math.min(this.version, this.agentsVersion);
	}

}
