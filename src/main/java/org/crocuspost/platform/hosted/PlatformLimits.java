package org.crocuspost.platform.hosted;

import java.time.Duration;

/**
 * Limits that the platform sets.
 *
 * @param maximumLease the longest lease that a worker grants
 * @param stopTimeout the time that a worker takes to stop a task
 * @param stopGrace the time from the request to terminate a process until it is killed
 * @param remotePenalty the factor by which a task runs longer on a host that does not
 * have its data
 * @param interferenceTimeout the maximum time for which a task may miss its latency
 * target because of other tasks
 * @param cancelTimeout the maximum time for which the tasks of a cancelled job may keep
 * running
 * @param statusRetention the time for which the state of an ended job can be queried
 * @param maximumRowBytes the largest value of a row, in bytes
 */
public record PlatformLimits(Duration maximumLease, Duration stopTimeout, Duration stopGrace, double remotePenalty,
		Duration interferenceTimeout, Duration cancelTimeout, Duration statusRetention, int maximumRowBytes) {

	/**
	 * Lease duration that crocuspost uses if the platform allows it. It covers the
	 * replacement of an agent or a leader, which takes up to five seconds. It is not
	 * longer, since the tasks of a lost worker are not restarted before the lease ends.
	 */
	private static final Duration PREFERRED_LEASE = Duration.ofSeconds(6);

	/**
	 * Returns the duration of a lease.
	 * @return the preferred duration, or the maximum of the platform if that is shorter
	 */
	public Duration leaseDuration() {
		return (PREFERRED_LEASE.compareTo(this.maximumLease) < 0) ? PREFERRED_LEASE : this.maximumLease;
	}

}
