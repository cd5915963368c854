package org.crocuspost.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a command got from the entries.
 */
sealed interface ServerAnswer {

	/**
	 * An entry did what was asked.
	 *
	 * @param body the body
	 */
	record Done(JsonNode body) implements ServerAnswer {
	}

	/**
	 * An entry reported a problem.
	 *
	 * @param body the body, as in {@code application/problem+json}
	 */
	record Problem(JsonNode body) implements ServerAnswer {

		String code() {
			return this.body.path("code").asText("internal");
		}

	}

	/**
	 * No entry answered.
	 *
	 * @param mayHaveRun whether an entry may have done what was asked
	 * @param reason the reason
	 */
	record Silent(boolean mayHaveRun, String reason) implements ServerAnswer {
	}

}
