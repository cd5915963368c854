package org.crocuspost.platform.http;

import java.time.Duration;

/**
 * Limits of an HTTP client that calls the platform.
 *
 * @param connectTimeout the maximum time to open a connection
 * @param callTimeout the maximum duration of a call, including the time to connect
 * @param connections the maximum number of connections to one address
 * @param maximumBodyBytes the maximum size of a response body in bytes
 */
public record HttpLimits(Duration connectTimeout, Duration callTimeout, int connections, int maximumBodyBytes) {

	/**
	 * Default limits, which suit a platform in the same region.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(Duration.ofSeconds(1), Duration.ofSeconds(3), 16,
			64 * 1024 * 1024);

	public HttpLimits {
		if (connectTimeout.isNegative() || connectTimeout.isZero() || callTimeout.compareTo(connectTimeout) < 0) {
			throw new IllegalArgumentException("connectTimeout must be positive and callTimeout must not be shorter");
		}
		if (connections < 1 || maximumBodyBytes < 1) {
			throw new IllegalArgumentException("connections and maximumBodyBytes must be positive");
		}
	}

	/**
	 * Returns the same limits with a different timeout for calls. The timeout for opening
	 * a connection is reduced to it if it is longer.
	 * @param timeout the maximum duration of a call, including the time to connect
	 * @return the limits
	 */
	public HttpLimits withCallTimeout(Duration timeout) {
		Duration connect = (this.connectTimeout.compareTo(timeout) < 0) ? this.connectTimeout : timeout;
		return new HttpLimits(connect, timeout, this.connections, this.maximumBodyBytes);
	}

}
