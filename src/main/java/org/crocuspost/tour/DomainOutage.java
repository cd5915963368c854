package org.crocuspost.tour;

import java.time.Instant;
import java.util.Objects;

/**
 * Time during which a failure domain was taken out.
 *
 * @param failureDomain the failure domain
 * @param outAt when the note that took it out was accepted
 * @param backAt when the note that brought it back was submitted
 */
record DomainOutage(String failureDomain, Instant outAt, Instant backAt) {

	DomainOutage {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(outAt, "outAt");
		Objects.requireNonNull(backAt, "backAt");
	}

}
