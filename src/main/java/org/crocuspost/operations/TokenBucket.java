package org.crocuspost.operations;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Token bucket that limits the rate of requests and allows bursts up to its capacity.
 * Thread-safe.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

	private final Clock clock;

	private final double tokensPerSecond;

	private final double capacity;

	private double tokens;

	private long lastRefillNanos;

	TokenBucket(Clock clock, int tokensPerSecond, int capacity) {
		this.clock = clock;
		this.tokensPerSecond = tokensPerSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.lastRefillNanos = clock.nanoTime();
	}

	synchronized boolean tryTake() {
		long now = this.clock.nanoTime();
		double refill = (now - this.lastRefillNanos) / NANOS_PER_SECOND * this.tokensPerSecond;
		this.tokens = Math.min(this.capacity, this.tokens + refill);
		this.lastRefillNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
