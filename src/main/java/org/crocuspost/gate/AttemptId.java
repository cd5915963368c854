package org.crocuspost.gate;

import java.util.Objects;

/**
 * Identity of one attempt of a request.
 *
 * @param requestId the identity of the request
 * @param attempt the number of the attempt, from 1
 */
record AttemptId(String requestId, int attempt) {

	AttemptId {
		Objects.requireNonNull(requestId, "requestId");
	}

}
