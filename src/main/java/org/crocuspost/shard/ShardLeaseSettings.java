package org.crocuspost.shard;

import java.time.Duration;

/**
 * Durations of a scheduling lease.
 *
 * @param lease how long a renewal is valid, measured by the holder from before it was
 * sent
 * @param renewInterval the time between renewals; must be shorter than the lease
 * @param driftMargin the time that an observer waits in addition to the lease, as a
 * margin for clock drift
 */
public record ShardLeaseSettings(Duration lease, Duration renewInterval, Duration driftMargin) {

	/**
	 * Default durations, which allow a takeover within 10 s.
	 */
	public static final ShardLeaseSettings DEFAULT = new ShardLeaseSettings(Duration.ofSeconds(5),
			Duration.ofMillis(1500), Duration.ofMillis(500));

	public ShardLeaseSettings {
		if (renewInterval.compareTo(lease) >= 0) {
			throw new IllegalArgumentException("the renewal interval must be shorter than the lease");
		}
	}

	/**
	 * Returns how long an observer must see no renewal before it takes over the lease.
	 * @return the sum of the lease and the drift margin
	 */
	public Duration takeoverDelay() {
		return this.lease.plus(this.driftMargin);
	}

}
