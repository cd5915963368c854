package org.crocuspost.error;

import java.util.Objects;

/**
 * A failed operation. Carried on the left side of an {@code Either}.
 *
 * @param code the entry in the catalogue of errors
 * @param message the message in plain English
 */
public record Failure(ErrorCode code, String message) {

	public Failure {
		Objects.requireNonNull(code, "code");
		Objects.requireNonNull(message, "message");
	}

	/**
	 * Says whether the failed operation may have taken effect.
	 * @return the verdict of the code
	 */
	public Verdict verdict() {
		return this.code.verdict();
	}

}
