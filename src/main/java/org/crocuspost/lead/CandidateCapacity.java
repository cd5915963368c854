package org.crocuspost.lead;

import java.time.Duration;

/**
 * Capacity of the host of a candidate for the leadership.
 *
 * <p>
 * The hosts of entries differ by a factor of seven in processor and of twenty in
 * bandwidth, and a leader needs much more of both than the other entries. Candidates on
 * weaker hosts wait a little longer, so that a stronger one takes over first if there is
 * one.
 *
 * @param cores the processor capacity, in cores
 * @param megabitsPerSecond the bandwidth of the network link
 */
public record CandidateCapacity(double cores, double megabitsPerSecond) {

	/**
	 * Capacity of a host that has plenty of everything.
	 */
	public static final CandidateCapacity AMPLE = new CandidateCapacity(1, 100);

	/**
	 * Delay of the weakest candidate. The delays of a strong and a weak candidate differ
	 * by more than the time in which they learn of a vacancy.
	 */
	private static final Duration MAXIMUM_DELAY = Duration.ofMillis(400);

	public CandidateCapacity {
		if (cores <= 0 || megabitsPerSecond <= 0) {
			throw new IllegalArgumentException("the capacity of a host must be positive");
		}
	}

	/**
	 * Returns how long this candidate waits in addition before it takes over.
	 * @return zero for an ample host, up to the maximum for a weak one
	 */
	Duration takeoverDelay() {
		double strength = Math.min(1,
				Math.min(this.cores / AMPLE.cores, this.megabitsPerSecond / AMPLE.megabitsPerSecond));
		return Duration.ofMillis(Math.round(MAXIMUM_DELAY.toMillis() * (1 - strength)));
	}

}
