package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Settings of a scheduler.
 *
 * @param name the name, unique among schedulers
 * @param failureDomain the failure domain of the host
 * @param failureDomains all failure domains of the deployment
 * @param addresses where the scheduler listens
 * @param secret the secret that all processes of the deployment share
 * @param platform how the scheduler reaches the platform
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
	 * Where a scheduler listens. Port 0 stands for any free port.
	 *
	 * @param peers for agents
	 * @param monitoring for metrics and health
	 */
	public record Addresses(InetSocketAddress peers, InetSocketAddress monitoring) {
	}

	/**
	 * Time limits and intervals.
	 *
	 * @param storePoll the time between two polls of the table
	 * @param memberLease how long a scheduler that does not renew its row counts as live
	 * @param shardLease the length of the scheduling lease of a failure domain
	 * @param shardRenewal the time between two renewals of the scheduling lease
	 * @param driftMargin how much longer an observer waits than a lease lasts
	 * @param taskLease the length of a task lease
	 * @param drain how long the scheduler finishes what is in flight when it stops
	 */
	public record Times(Duration storePoll, Duration memberLease, Duration shardLease, Duration shardRenewal,
			Duration driftMargin, Duration taskLease, Duration drain) {

		/**
		 * Times that apply unless the settings say otherwise.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(10),
				Duration.ofSeconds(5), Duration.ofMillis(1500), Duration.ofMillis(500), Duration.ofSeconds(15),
				Duration.ofSeconds(10));

	}

}
