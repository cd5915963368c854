package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Holds the settings of a scheduler.
 *
 * @param name the name, unique among schedulers
 * @param failureDomain the failure domain of the host
 * @param failureDomains all failure domains of the deployment
 * @param addresses the addresses on which the scheduler listens
 * @param secret the secret that all processes of the deployment share
 * @param platform the connections to the platform's stores
 * @param times time limits and intervals
 */
public record SchedulerSettings(String name, String failureDomain, List<String> failureDomains, Addresses addresses,
		Secret secret, PlatformSettings platform, Times times) {

	public SchedulerSettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(failureDomain, "failureDomain");
		failureDomains = List.copyOf(failureDomains);
	}

	/**
	 * Holds the addresses on which a scheduler listens. Port 0 selects any free port.
	 *
	 * @param peers the address for agents
	 * @param monitoring the address for metrics and health
	 */
	public record Addresses(InetSocketAddress peers, InetSocketAddress monitoring) {
	}

	/**
	 * Holds time limits and intervals.
	 *
	 * @param storePoll the interval between two polls of the table service
	 * @param memberLease the time for which a scheduler counts as live after the last
	 * renewal of its member row
	 * @param shardLease the duration of the scheduling lease of a failure domain
	 * @param shardRenewal the interval between two renewals of the scheduling lease
	 * @param driftMargin the time that an observer waits beyond the duration of a lease
	 * @param taskLease the duration of a task lease
	 * @param drain the maximum time for which a stopping scheduler completes work in
	 * progress
	 */
	public record Times(Duration storePoll, Duration memberLease, Duration shardLease, Duration shardRenewal,
			Duration driftMargin, Duration taskLease, Duration drain) {

		/**
		 * The default times.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(10),
				Duration.ofSeconds(5), Duration.ofMillis(1500), Duration.ofMillis(500), Duration.ofSeconds(15),
				Duration.ofSeconds(10));

	}

}
