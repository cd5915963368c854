package org.crocuspost.retry;

import java.time.Duration;

/**
 * Settings of the retry budget and of idempotency keys.
 *
 * @param share the fraction of first attempts that may be followed by an additional one
 * @param burst the maximum number of additional attempts that the budget accumulates
 * @param keyRetention how long agents store an idempotency key
 */
public record RetrySettings(double share, double burst, Duration keyRetention) {

	/**
	 * The default settings.
	 */
	public static final RetrySettings DEFAULT = new RetrySettings(0.1, 10, Duration.ofMinutes(2));

}
