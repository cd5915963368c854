package org.crocuspost.platform.worker;

import java.util.Objects;

/**
 * Order to limit the processor share of an attempt.
 *
 * @param attempt the attempt
 * @param percent the share of its declared processor time, 0 to 100
 */
public record ThrottleOrder(AttemptKey attempt, int percent) {

	public ThrottleOrder {
		Objects.requireNonNull(attempt, "attempt");
	}

}
