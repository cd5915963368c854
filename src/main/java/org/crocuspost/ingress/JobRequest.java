package org.crocuspost.ingress;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.job.JobSpecification;

/**
 * A caller's request concerning a job or a queue.
 *
 * @param method the requested operation
 * @param host the host name without a port
 * @param path the path without a query
 * @param specification parses the job specification in the body; a left value describes
 * the error
 * @param timeRemaining how long the caller waits for the answer; empty if it does not say
 */
public record JobRequest(Method method, String host, String path,
		Supplier<Either<String, JobSpecification>> specification, Optional<Duration> timeRemaining) {

	private static final int ID_DIGITS = 16;

	/**
	 * Returns whether a text is a valid job ID.
	 * @param id the text
	 * @return true if it consists of 16 hexadecimal digits
	 */
	public static boolean validId(String id) {
		return id.length() == ID_DIGITS && id.chars().allMatch((digit) -> Character.digit(digit, 16) >= 0);
	}

	/**
	 * Operation that a caller requests.
	 */
	public enum Method {

		/**
		 * Submits a job.
		 */
		SUBMIT,

		/**
		 * Returns the state of a job, or the number of pending jobs of a queue.
		 */
		SHOW,

		/**
		 * Cancels a job.
		 */
		CANCEL,

		/**
		 * Any operation that is not supported.
		 */
		OTHER

	}

}
