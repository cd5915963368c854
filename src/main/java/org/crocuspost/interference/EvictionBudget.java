package org.crocuspost.interference;

import java.time.Duration;

import org.crocuspost.time.Clock;

/**
 * Token bucket that bounds evictions on one worker or in the fleet. Not safe for use by
 * several threads.
 */
public final class EvictionBudget {

	private final Clock clock;

	private final Duration interval;

	private final int burst;

	private double tokens;

	private long updated;

	/**
	 * Creates a full budget.
	 * @param clock tells the elapsed time
	 * @param interval the mean time between two evictions
	 * @param burst the number of evictions allowed at once
	 */
	public EvictionBudget(Clock clock, Duration interval, int burst) {
		this.clock = clock;
		this.interval = interval;
		this.burst = burst;
		this.tokens = burst;
		this.updated = clock.nanoTime();
	}

	/**
	 * Takes one eviction from the budget.
	 * @return false if the budget is spent
	 */
	public boolean tryAcquire() {
		long now = this.clock.nanoTime();
		double earned = (double) (now - this.updated) / this.interval.toNanos();
		this.tokens = Math.min(this.burst, this.tokens + earned);
		this.updated = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
