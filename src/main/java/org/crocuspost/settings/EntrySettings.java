package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Holds the settings of an entry, the process that receives the requests of callers and
 * operators.
 *
 * @param name the name, unique among entries
 * @param failureDomain the failure domain of the host
 * @param failureDomains all failure domains of the deployment
 * @param addresses the addresses on which the entry listens
 * @param secret the secret that all processes of the deployment share
 * @param operatorToken the bearer token of operators
 * @param platform the connections to the platform's stores
 * @param limits limits of sizes and counts
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
	 * Holds the addresses on which an entry listens. Port 0 selects any free port.
	 *
	 * @param callers the address for callers
	 * @param operators the address for operators
	 * @param peers the address for agents
	 * @param monitoring the address for metrics and health
	 */
	public record Addresses(InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress peers,
			InetSocketAddress monitoring) {
	}

	/**
	 * Holds limits of sizes and counts.
	 *
	 * @param maximumBodyBytes the maximum size of a caller's request body, in bytes
	 * @param maximumNoteBytes the maximum size of a release note, in bytes
	 * @param threads the number of network threads
	 */
	public record Limits(int maximumBodyBytes, int maximumNoteBytes, int threads) {

		/**
		 * The default limits.
		 */
		public static final Limits DEFAULT = new Limits(1024 * 1024, 1024 * 1024, 4);

	}

	/**
	 * Holds time limits and intervals.
	 *
	 * @param storePoll the interval between two polls of the table service
	 * @param memberLease the time for which an entry counts as live after the last
	 * renewal of its member row
	 * @param maximumTimeout the maximum timeout that a caller may set for a request
	 * @param idleTimeout the maximum time for which a connection of a caller may be idle
	 * @param drain the maximum time for which a stopping entry completes requests in
	 * progress
	 */
	public record Times(Duration storePoll, Duration memberLease, Duration maximumTimeout, Duration idleTimeout,
			Duration drain) {

		/**
		 * The default times.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(10),
				Duration.ofSeconds(60), Duration.ofSeconds(75), Duration.ofSeconds(20));

	}

}
