package org.crocuspost.retry;

/**
 * Token bucket that limits the load of additional attempts to a fraction of the first
 * attempts, even when every first attempt fails. This class is thread-safe.
 */
public final class RetryBudget {

	private final double share;

	private final double capacity;

	private double tokens;

	/**
	 * Creates a full bucket.
	 * @param share the fraction of first attempts that may be followed by an additional
	 * one, for example 0.1
	 * @param capacity the maximum number of tokens that the bucket holds
	 */
	public RetryBudget(double share, double capacity) {
		this.share = share;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Records a first attempt, which adds a fraction of a token.
	 */
	public synchronized void recordFirstAttempt() {
		this.tokens = Math.min(this.capacity, this.tokens + this.share);
	}

	/**
	 * Takes a token for an additional attempt.
	 * @return whether a token was available
	 */
	public synchronized boolean take() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
