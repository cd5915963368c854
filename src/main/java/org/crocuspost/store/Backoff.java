package org.crocuspost.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter. Each delay is drawn evenly from the upper half of a
 * range that doubles, so that many processes that failed together do not call again
 * together.
 *
 * @param initial the longest first delay
 * @param maximum the longest delay at all
 */
public record Backoff(Duration initial, Duration maximum) {

	private static final int MAXIMUM_DOUBLINGS = 30;

	public Backoff {
		if (initial.isZero() || initial.isNegative() || maximum.compareTo(initial) < 0) {
			throw new IllegalArgumentException("delays must be positive and the maximum not shorter than the first");
		}
	}

	/**
	 * Draws a delay.
	 * @param failures how many attempts have failed before, from 0
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
