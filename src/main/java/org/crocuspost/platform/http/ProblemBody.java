package org.crocuspost.platform.http;

import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Body of an error response of type {@code application/problem+json}.
 *
 * @param title the title, which equals the error code
 * @param status the HTTP status code
 * @param detail the message in plain English
 * @param code the error code, see {@link ErrorCode#code()}
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
	 * @return the failure, or empty if the error code is unknown
	 */
	public Optional<Failure> failure() {
		return Arrays.stream(ErrorCode.values())
			.filter((candidate) -> candidate.code().equals(this.code))
			.findFirst()
			.map((found) -> new Failure(found, String.valueOf(this.detail)));
	}

}
