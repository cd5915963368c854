package org.crocuspost.error;

import java.util.Objects;

/**
 * Describes why an operation failed. Used as the left value of an {@code Either}.
 *
 * @param code the error code
 * @param message the message in plain English
 */
public record Failure(ErrorCode code, String message) {

	public Failure {
		Objects.requireNonNull(code, "code");
		Objects.requireNonNull(message, "message");
	}

	/**
	 * Returns whether the failed operation may have taken effect.
	 * @return the verdict of the code
	 */
	public Verdict verdict() {
		return this.code.verdict();
	}

}
