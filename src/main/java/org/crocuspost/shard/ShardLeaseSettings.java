package org.crocuspost.shard;

import java.time.Duration;

/**
 * Times of a scheduling lease.
 *
 * @param lease how long a renewal is valid, counted by the holder from before it was sent
 * @param renewInterval the time between renewals
 * @param driftMargin how much longer than the lease an observer waits
 */
public record ShardLeaseSettings(Duration lease, Duration renewInterval, Duration driftMargin) {

	/**
	 * Times that allow a takeover within 10 s.
	 */
	public static final ShardLeaseSettings DEFAULT = new ShardLeaseSettings(Duration.ofSeconds(5),
			Duration.ofMillis(1500), Duration.ofMillis(500));

	public ShardLeaseSettings {
		if (renewInterval.compareTo(lease) >= 0) {
			throw new IllegalArgumentException("the renewal interval must be shorter than the lease");
		}
	}

	/**
	 * Returns how long an observer must see no renewal before it takes the lease.
	 * @return the lease and the margin
	 */
	public Duration observerWait() {
		return this.lease.plus(this.driftMargin);
	}

}
