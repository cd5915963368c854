package org.crocuspost.platform.http;

/**
 * How an HTTP call ended.
 */
public sealed interface HttpOutcome {

	/**
	 * A whole answer arrived.
	 *
	 * @param status the status code
	 * @param body the body
	 */
	record Answered(int status, byte[] body) implements HttpOutcome {
	}

	/**
	 * No connection could be opened, so the call had no effect.
	 *
	 * @param reason the reason
	 */
	record NeverSent(String reason) implements HttpOutcome {
	}

	/**
	 * The call may have been sent, but no whole answer arrived.
	 *
	 * @param reason the reason
	 */
	record Unanswered(String reason) implements HttpOutcome {
	}

}
