package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Settings of an entry.
 *
 * @param name the name, unique among entries
 * @param failureDomain the failure domain of the host
 * @param failureDomains all failure domains of the deployment
 * @param addresses where the entry listens
 * @param secret the secret that all processes of the deployment share
 * @param operatorToken the bearer token of operators
 * @param platform how the entry reaches the platform
 * @param limits sizes and numbers
 * @param times time limits and intervals
 */
public record EntrySettings(String name, String failureDomain, List<String> failureDomains, Addresses addresses,
		Secret secret, Secret operatorToken, PlatformSettings platform, Limits limits, Times times) {

	public EntrySettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(failureDomain, "failureDomain");
		failureDomains = List.copyOf(failureDomains);
	}

	/**
	 * Where an entry listens. Port 0 stands for any free port.
	 *
	 * @param callers for callers
	 * @param operators for operators
	 * @param peers for agents
	 * @param monitoring for metrics and health
	 */
	public record Addresses(InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress peers,
			InetSocketAddress monitoring) {
	}

	/**
	 * Sizes and numbers.
	 *
	 * @param maximumBodyBytes the largest request body of a caller
	 * @param maximumNoteBytes the largest release note
	 * @param threads the number of network threads
	 */
	public record Limits(int maximumBodyBytes, int maximumNoteBytes, int threads) {

		/**
		 * Limits that apply unless the settings say otherwise.
		 */
		public static final Limits DEFAULT = new Limits(1024 * 1024, 1024 * 1024, 4);

	}

	/**
	 * Time limits and intervals.
	 *
	 * @param storePoll the time between two polls of the table
	 * @param memberLease how long an entry that does not renew its row counts as live
	 * @param maximumTimeout the longest time that a caller may give a request
	 * @param idleTimeout how long a connection of a caller may be idle
	 * @param drain how long the entry finishes what is in flight when it stops
	 */
	public record Times(Duration storePoll, Duration memberLease, Duration maximumTimeout, Duration idleTimeout,
			Duration drain) {

		/**
		 * Times that apply unless the settings say otherwise.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(10),
				Duration.ofSeconds(60), Duration.ofSeconds(75), Duration.ofSeconds(20));

	}

}
