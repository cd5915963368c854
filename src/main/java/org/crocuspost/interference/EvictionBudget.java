package org.crocuspost.interference;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Token bucket that limits the rate of evictions on one worker or in the fleet. Not
 * thread-safe.
 */
public final class EvictionBudget {

	private final Clock clock;

	private final Duration interval;

	private final int burst;

	private double tokens;

	private long updatedNanos;

	/**
	 * Creates a full budget.
	 * @param clock the source of elapsed time
	 * @param interval the mean time between two evictions
	 * @param burst the maximum number of evictions allowed at once
	 */
	public EvictionBudget(Clock clock, Duration interval, int burst) {
		this.clock = clock;
		this.interval = interval;
		this.burst = burst;
		this.tokens = burst;
		this.updatedNanos = clock.nanoTime();
	}

	/**
	 * Takes one eviction from the budget if one is available.
	 * @return true if an eviction was taken, false if the budget is exhausted
	 */
	public boolean tryAcquire() {
		long now = this.clock.nanoTime();
		double refilled = (double) (now - this.updatedNanos) / this.interval.toNanos();
		this.tokens = Math.min(this.burst, this.tokens + refilled);
		this.updatedNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
