package org.crocuspost.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Settings of the operators' command line.
 *
 * @param entries addresses of the operators' interface of several entries, tried in order
 * @param token the bearer token
 * @param timeout how long a call may take
 */
public record OperatorSettings(List<URI> entries, Secret token, Duration timeout) {

	/**
	 * How long a call may take unless the settings say otherwise.
	 */
	public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

	public OperatorSettings {
		entries = List.copyOf(entries);
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(timeout, "timeout");
	}

}
