package org.crocuspost.entry;

import java.util.Objects;

/**
 * Identity of a caller's request.
 *
 * @param value the identity as it appears in headers and logs
 */
record RequestIdentity(String value) {

	RequestIdentity {
		Objects.requireNonNull(value, "value");
	}

}
