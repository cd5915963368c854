package org.crocuspost.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Result of a call to the entries.
 */
sealed interface CallResult {

	/**
	 * An entry performed the call.
	 *
	 * @param body the body
	 */
	record Success(JsonNode body) implements CallResult {
	}

	/**
	 * An entry reported a problem.
	 *
	 * @param body the body, as in {@code application/problem+json}
	 */
	record Problem(JsonNode body) implements CallResult {

		String code() {
			return this.body.path("code").asText("internal");
		}

	}

	/**
	 * No entry answered.
	 *
	 * @param mayHaveRun whether an entry may have performed the call
	 * @param reason the reason
	 */
	record NoAnswer(boolean mayHaveRun, String reason) implements CallResult {
	}

}
