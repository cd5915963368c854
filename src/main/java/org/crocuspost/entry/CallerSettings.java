package org.crocuspost.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the HTTP server for callers.
 *
 * @param address the address and port; port 0 for any free port
 * @param maximumBodyBytes the largest request body that is accepted, in bytes
 * @param maximumTimeout the longest timeout that a caller may set for a request
 * @param idleTimeout the time without reads and writes after which a connection of a
 * caller is closed
 * @param threads the number of event loop threads
 */
public record CallerSettings(InetSocketAddress address, int maximumBodyBytes, Duration maximumTimeout,
		Duration idleTimeout, int threads) {

	private static final int DEFAULT_MAXIMUM_BODY_BYTES = 1024 * 1024;

	private static final Duration DEFAULT_MAXIMUM_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(75);

	private static final int DEFAULT_THREADS = 4;

	public CallerSettings {
		Objects.requireNonNull(address, "address");
	}

	/**
	 * Creates settings with the default size, timeouts and number of threads.
	 * @param address the address and port
	 * @return the settings
	 */
	public static CallerSettings of(InetSocketAddress address) {
		return new CallerSettings(address, DEFAULT_MAXIMUM_BODY_BYTES, DEFAULT_MAXIMUM_TIMEOUT, DEFAULT_IDLE_TIMEOUT,
				DEFAULT_THREADS);
	}

}
