package org.crocuspost.distribution;

import java.util.List;

import org.crocuspost.configuration.Configuration;

/**
 * Summarizes the configuration versions on which one entry or scheduler and its agents
 * act. The summary is stored in the member row of the process.
 *
 * @param version the version on which the process itself acts
 * @param agentsVersion the lowest version among the agents that the process reports; its
 * own version if there are none
 * @param awaited agents that act on an older version than the process, up to
 * {@link #MAXIMUM_AWAITED}
 */
public record ConfirmationSummary(long version, long agentsVersion, List<AwaitedProcess> awaited) {

	/**
	 * Maximum number of agents in {@link #awaited()}.
	 */
	public static final int MAXIMUM_AWAITED = 10;

	/**
	 * The summary before any version is confirmed.
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
