package org.crocuspost.store;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on the calls of one process to a store.
 *
 * @param callsInFlight the most calls at the same time; further calls are refused
 * @param failuresToOpen after so many failures in a row no call is made for a while
 * @param backoff how long no call is made
 */
public record ProtectionSettings(int callsInFlight, int failuresToOpen, Backoff backoff) {

	/**
	 * Bounds for ordinary use.
	 */
	public static final ProtectionSettings DEFAULT = new ProtectionSettings(16, 3,
			new Backoff(Duration.ofMillis(500), Duration.ofSeconds(5)));

	public ProtectionSettings {
		Objects.requireNonNull(backoff, "backoff");
		if (callsInFlight < 1 || failuresToOpen < 1) {
			throw new IllegalArgumentException("bounds must be positive");
		}
	}

}
