package org.crocuspost.platform.worker;

import java.util.Objects;

/**
 * Request to limit the CPU share of an attempt.
 *
 * @param attempt the attempt
 * @param percent the share of its declared CPU time in percent, 0 to 100
 */
public record ThrottleRequest(AttemptKey attempt, int percent) {

	public ThrottleRequest {
		Objects.requireNonNull(attempt, "attempt");
	}

}
