package org.crocuspost.platform.worker;

import java.util.Objects;

/**
 * Request to limit the CPU share of an attempt.
 *
 * @param attempt the attempt
 * @param percent the share of its declared CPU time in percent, 0 to 100
 */
public record ThrottleOrder(AttemptKey attempt, int percent) {

	public ThrottleOrder {
		Objects.requireNonNull(attempt, "attempt");
	}

}
