package org.crocuspost.membership;

import java.time.Duration;

/**
 * Times of membership.
 *
 * @param renewal the time between two renewals of the own row
 * @param minimumWriteInterval the shortest time between two writes of the own row
 * @param lease how long a process whose row does not change counts as live
 * @param poll the time between two reads of all rows
 * @param rowRetention after how long the row of a process that is not live is deleted
 */
public record MembershipSettings(Duration renewal, Duration minimumWriteInterval, Duration lease, Duration poll, Duration rowRetention) {

	/**
	 * Times for ordinary use.
	 */
	public static final MembershipSettings DEFAULT = new MembershipSettings(Duration.ofSeconds(3),
			Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofMinutes(10));

	public MembershipSettings {
		if (lease.compareTo(renewal.plus(poll)) <= 0 || rowRetention.compareTo(lease) <= 0) {
			throw new IllegalArgumentException(
					"the lease must be longer than a renewal and a poll, and rows must be kept longer than the lease");
		}
	}

}
