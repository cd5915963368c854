package org.crocuspost.http;

/**
 * Names of the headers that crocuspost reads and writes.
 */
public final class RequestHeaders {

	/**
	 * Identity of a request; in each request to an endpoint and each answer to a caller.
	 * An endpoint may repeat it in its answer, which is then checked.
	 */
	public static final String REQUEST = "Crocuspost-Request";

	/**
	 * Verdict in each answer to a caller.
	 */
	public static final String VERDICT = "Crocuspost-Verdict";

	/**
	 * Time that a caller gives a request, in milliseconds.
	 */
	public static final String DEADLINE = "Crocuspost-Deadline-Milliseconds";

	/**
	 * Marks the tries of a caller that are the same request.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Tells a caller when to come back, in seconds.
	 */
	public static final String RETRY_AFTER = "Retry-After";

	private RequestHeaders() {
	}

}
