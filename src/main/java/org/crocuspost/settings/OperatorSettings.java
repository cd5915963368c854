package org.crocuspost.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Holds the settings of the operators' command line.
 *
 * @param entries the addresses of the operators' interface of one or more entries, tried
 * in order
 * @param token the bearer token
 * @param timeout the maximum duration of a call
 */
public record OperatorSettings(List<URI> entries, Secret token, Duration timeout) {

	/**
	 * The default maximum duration of a call.
	 */
	public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	public OperatorSettings {
		entries = List.copyOf(entries);
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(timeout, "timeout");
	}

}
