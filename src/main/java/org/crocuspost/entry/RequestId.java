package org.crocuspost.entry;

import java.util.Objects;

/**
 * ID of a caller's request.
 *
 * @param value the ID as it appears in headers and logs
 */
record RequestId(String value) {

	RequestId {
		Objects.requireNonNull(value, "value");
	}

}
