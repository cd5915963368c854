package org.crocuspost.membership;

import java.time.Duration;

/**
 * Holds the intervals and limits of membership.
 *
 * @param renewalInterval the time between two renewals of the row of this process
 * @param minimumWriteInterval the minimum time between two writes of the row of this
 * process
 * @param leaseDuration how long a process whose row does not change counts as live;
 * longer than the renewal interval plus the poll interval
 * @param pollInterval the time between two reads of all rows
 * @param rowRetention the time without change after which the row of a process is
 * deleted; longer than the lease
 */
public record MembershipSettings(Duration renewalInterval, Duration minimumWriteInterval, Duration leaseDuration,
		Duration pollInterval, Duration rowRetention) {

	/**
	 * The default settings.
	 */
	public static final MembershipSettings DEFAULT = new MembershipSettings(Duration.ofSeconds(3),
			Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofMinutes(10));

	public MembershipSettings {
		if (leaseDuration.compareTo(renewalInterval.plus(pollInterval)) <= 0
				|| rowRetention.compareTo(leaseDuration) <= 0) {
			throw new IllegalArgumentException(
					"the lease must exceed the renewal plus the poll interval, and rows must be kept longer than the lease");
		}
	}

}
