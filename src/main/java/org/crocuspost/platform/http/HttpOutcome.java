package org.crocuspost.platform.http;

/**
 * Outcome of an HTTP call.
 */
public sealed interface HttpOutcome {

	/**
	 * A complete response was received.
	 *
	 * @param status the status code
	 * @param body the response body
	 */
	record Answered(int status, byte[] body) implements HttpOutcome {
	}

	/**
	 * No connection could be opened, so the call had no effect.
	 *
	 * @param reason why the call failed
	 */
	record NeverSent(String reason) implements HttpOutcome {
	}

	/**
	 * The request may have been sent, but no complete response was received. The call may
	 * have had an effect.
	 *
	 * @param reason why the call failed
	 */
	record Unanswered(String reason) implements HttpOutcome {
	}

}
