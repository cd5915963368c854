package org.crocuspost.retry;

import java.time.Duration;

/**
 * Settings of repeated attempts.
 *
 * @param share the share of first attempts that may be followed by another one
 * @param burst the most attempts that are saved up
 * @param keyMemory how long agents keep an idempotency key
 */
public record RetrySettings(double share, double burst, Duration keyMemory) {

	/**
	 * The settings for ordinary use.
	 */
	public static final RetrySettings DEFAULT = new RetrySettings(0.1, 10, Duration.ofMinutes(2));

}
