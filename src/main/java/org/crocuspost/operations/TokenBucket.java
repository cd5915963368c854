package org.crocuspost.operations;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Token bucket. Safe for use by several threads.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

	private final Clock clock;

	private final double perSecond;

	private final double capacity;

	private double tokens;

	private long filledAtNanos;

	TokenBucket(Clock clock, int perSecond, int capacity) {
		this.clock = clock;
		this.perSecond = perSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.filledAtNanos = clock.nanoTime();
	}

	synchronized boolean take() {
		long now = this.clock.nanoTime();
		double gained = (now - this.filledAtNanos) / NANOS_PER_SECOND * this.perSecond;
		this.tokens = Math.min(this.capacity, this.tokens + gained);
		this.filledAtNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
