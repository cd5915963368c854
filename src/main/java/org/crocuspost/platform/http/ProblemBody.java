package org.crocuspost.platform.http;

import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Body of an answer of type {@code application/problem+json}.
 *
 * @param title the title
 * @param status the status code
 * @param detail the message in plain English
 * @param code the entry in the catalogue of errors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ProblemBody(String title, int status, String detail, String code) {

	/**
	 * Content type of the body.
	 */
	public static final String CONTENT_TYPE = "application/problem+json";

	/**
	 * Creates the body that reports a failure.
	 * @param failure the failure
	 * @return the body
	 */
	public static ProblemBody of(Failure failure) {
		return new ProblemBody(failure.code().code(), failure.code().status(), failure.message(),
				failure.code().code());
	}

	/**
	 * Returns the failure that the body reports.
	 * @return the failure, or empty if its code is not in the catalogue
	 */
	public Optional<Failure> failure() {
		return Arrays.stream(ErrorCode.values())
			.filter((candidate) -> candidate.code().equals(this.code))
			.findFirst()
			.map((found) -> new Failure(found, String.valueOf(this.detail)));
	}

}
