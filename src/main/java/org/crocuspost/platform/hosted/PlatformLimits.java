package org.crocuspost.platform.hosted;

import java.time.Duration;

/**
 * Bounds that the platform sets.
 *
 * @param longestLease the longest lease that a worker grants
 * @param stopTimeout how long a worker takes to stop a task
 * @param stopGrace time from the request to end until a process is killed
 * @param remotePenalty factor on the run time away from the data
 * @param interferencePatience how long a task may miss its latency target because of
 * others
 * @param cancelTimeout how long the tasks of a cancelled job may go on
 * @param statusRetention how long the state of an ended job can be asked for
 * @param rowBytes the largest value of a row, in bytes
 */
public record PlatformLimits(Duration longestLease, Duration stopTimeout, Duration stopGrace, double remotePenalty,
		Duration interferencePatience, Duration cancelTimeout, Duration statusRetention, int rowBytes) {

	/**
	 * Lease that crocuspost works with: long enough for an agent or a leader to be
	 * replaced, which takes up to five seconds, and not longer, since the tasks of a lost
	 * worker wait for its end.
	 */
	private static final Duration LEASE = Duration.ofSeconds(6);

	/**
	 * Returns how long a lease is.
	 * @return the duration
	 */
	public Duration leaseDuration() {
		return (LEASE.compareTo(this.longestLease) < 0) ? LEASE : this.longestLease;
	}

}
