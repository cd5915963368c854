package org.crocuspost.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter. Each delay is drawn uniformly from the upper half of a
 * range that doubles with every failure, so that many processes that failed at the same
 * time do not retry at the same time.
 *
 * @param initial the upper limit of the first delay
 * @param maximum the upper limit of all delays
 */
public record Backoff(Duration initial, Duration maximum) {

	private static final int MAXIMUM_DOUBLINGS = 30;

	public Backoff {
		if (initial.isZero() || initial.isNegative() || maximum.compareTo(initial) < 0) {
			throw new IllegalArgumentException(
					"the initial delay must be positive and the maximum delay must not be shorter");
		}
	}

	/**
	 * Draws a random delay.
	 * @param failures the number of failures before the one that causes this delay, from
	 * 0
	 * @param random the source of the jitter
	 * @return the delay
	 */
	public Duration delay(int failures, RandomGenerator random) {
		long factor = 1L << Math.min(failures, MAXIMUM_DOUBLINGS);
		Duration range = this.initial.multipliedBy(factor);
		long nanos = ((range.compareTo(this.maximum) < 0) ? range : this.maximum).toNanos();
		return Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2 + 1));
	}

}
