package org.crocuspost.platform.http;

import java.time.Duration;

/**
 * Limits of an HTTP client towards the platform.
 *
 * @param connectTimeout how long opening a connection may take
 * @param callTimeout how long a call may take in all
 * @param connections the most connections to one address
 * @param maximumBodyBytes the largest answer that is accepted
 */
public record HttpLimits(Duration connectTimeout, Duration callTimeout, int connections, int maximumBodyBytes) {

	/**
	 * Limits that fit a platform in the same region.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(Duration.ofSeconds(1), Duration.ofSeconds(3), 16,
			64 * 1024 * 1024);

	public HttpLimits {
		if (connectTimeout.isNegative() || connectTimeout.isZero() || callTimeout.compareTo(connectTimeout) < 0) {
			throw new IllegalArgumentException("time limits must be positive and calls longer than connecting");
		}
		if (connections < 1 || maximumBodyBytes < 1) {
			throw new IllegalArgumentException("limits must be positive");
		}
	}

	/**
	 * Returns the same limits with another time limit for calls.
	 * @param timeout how long a call may take in all
	 * @return the limits
	 */
	public HttpLimits withCallTimeout(Duration timeout) {
		Duration connect = (this.connectTimeout.compareTo(timeout) < 0) ? this.connectTimeout : timeout;
		return new HttpLimits(connect, timeout, this.connections, this.maximumBodyBytes);
	}

}
