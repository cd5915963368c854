package org.crocuspost.platform.worker;

import java.time.Duration;
import java.util.Objects;

/**
 * Order to renew the lease of an attempt.
 *
 * @param attempt the attempt
 * @param lease the new length of the lease
 */
public record LeaseRenewal(AttemptKey attempt, Duration lease) {

	public LeaseRenewal {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(lease, "lease");
	}

}
