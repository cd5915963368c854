package org.crocuspost.platform.worker;

import java.time.Duration;
import java.util.Objects;

/**
 * Request to renew the lease of an attempt.
 *
 * @param attempt the attempt
 * @param lease the duration of the renewed lease
 */
public record LeaseRenewal(AttemptKey attempt, Duration lease) {

	public LeaseRenewal {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(lease, "lease");
	}

}
