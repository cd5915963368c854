package org.crocuspost.store;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the calls of one process to a store.
 *
 * @param maxConcurrentCalls the maximum number of concurrent calls; further calls are
 * refused
 * @param failuresToOpen the number of consecutive failures after which the circuit
 * breaker opens and refuses calls
 * @param backoff how long the circuit breaker stays open
 */
public record ProtectionSettings(int maxConcurrentCalls, int failuresToOpen, Backoff backoff) {

	/**
	 * Default limits.
	 */
	public static final ProtectionSettings DEFAULT = new ProtectionSettings(16, 3,
			new Backoff(Duration.ofMillis(500), Duration.ofSeconds(5)));

	public ProtectionSettings {
		Objects.requireNonNull(backoff, "backoff");
		if (maxConcurrentCalls < 1 || failuresToOpen < 1) {
			throw new IllegalArgumentException(
					"the limits of concurrent calls and consecutive failures must be positive");
		}
	}

}
