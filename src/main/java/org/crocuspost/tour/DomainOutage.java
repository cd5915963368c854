package org.crocuspost.tour;

import java.time.Instant;
import java.util.Objects;

/**
 * Period during which a failure domain was out of service.
 *
 * @param failureDomain the failure domain
 * @param outAt the time when the release note that took it out of service was accepted
 * @param backAt the time when the release note that returned it to service was submitted
 */
record DomainOutage(String failureDomain, Instant outAt, Instant backAt) {

	DomainOutage {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(outAt, "outAt");
		Objects.requireNonNull(backAt, "backAt");
	}

}
