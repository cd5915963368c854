package org.crocuspost.http;

/**
 * Names of the HTTP headers that crocuspost reads and writes.
 */
public final class HeaderNames {

	/**
	 * Request ID, set in each request to an endpoint and each response to a caller. If an
	 * endpoint repeats it in its response, the value is checked.
	 */
	public static final String REQUEST_ID = "Crocuspost-Request";

	/**
	 * Verdict on whether the request has run, set in each response to a caller.
	 */
	public static final String VERDICT = "Crocuspost-Verdict";

	/**
	 * Timeout that a caller sets for a request, in milliseconds.
	 */
	public static final String DEADLINE = "Crocuspost-Deadline-Milliseconds";

	/**
	 * Key that a caller sets to the same value in all attempts of one request.
	 */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Time after which a caller may retry, in seconds.
	 */
	public static final String RETRY_AFTER = "Retry-After";

	private HeaderNames() {
	}

}
