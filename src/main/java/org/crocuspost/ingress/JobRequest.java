package org.crocuspost.ingress;

import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.job.JobSpecification;

/**
 * A caller's request.
 *
 * @param method what the caller wants
 * @param host the host name without a port
 * @param path the path
 * @param specification reads the job from the body, or says what is wrong with it
 */
public record JobRequest(Method method, String host, String path,
		Supplier<Either<String, JobSpecification>> specification) {

	private static final int ID_DIGITS = 16;

	/**
	 * Says whether a text can identify a job.
	 * @param id the text
	 * @return true if it has 16 hexadecimal digits
	 */
	public static boolean validId(String id) {
		return id.length() == ID_DIGITS && id.chars().allMatch((digit) -> Character.digit(digit, 16) >= 0);
	}

	/**
	 * What a caller wants.
	 */
	public enum Method {

		/**
		 * Hand a job in.
		 */
		SUBMIT,

		/**
		 * Learn the state of a job or of a queue.
		 */
		SHOW,

		/**
		 * Cancel a job.
		 */
		CANCEL,

		/**
		 * Anything else.
		 */
		OTHER

	}

}
