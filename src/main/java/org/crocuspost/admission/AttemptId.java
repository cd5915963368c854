package org.crocuspost.admission;

import java.util.Objects;

/**
 * Identifies one attempt of a request.
 *
 * @param requestId the identifier of the request
 * @param attempt the number of the attempt, from 1
 */
record AttemptId(String requestId, int attempt) {

	AttemptId {
		Objects.requireNonNull(requestId, "requestId");
	}

}
