package org.crocuspost.retry;

/**
 * Token bucket that keeps the extra load of second attempts to a share of the first
 * attempts, also when every first attempt fails. Safe for use by several threads.
 */
public final class RetryBudget {

	private final double share;

	private final double capacity;

	private double tokens;

	/**
	 * Creates a full bucket.
	 * @param share the share of first attempts that may be followed by another, for
	 * example 0.1
	 * @param capacity the most tokens that are saved up
	 */
	public RetryBudget(double share, double capacity) {
		this.share = share;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Counts a first attempt.
	 */
	public synchronized void firstAttempt() {
		this.tokens = Math.min(this.capacity, this.tokens + this.share);
	}

	/**
	 * Asks for another attempt.
	 * @return whether the budget allows it
	 */
	public synchronized boolean take() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
