package org.crocuspost.retry;

import org.crocuspost.wire.KeyClaimReply;

/**
 * Whether a request may use its idempotency key.
 */
sealed interface KeyDecision {

	/**
	 * The key belongs to the request.
	 */
	record Granted() implements KeyDecision {
	}

	/**
	 * The key belongs to another request.
	 *
	 * @param holder the request that holds the key
	 */
	record Held(KeyClaimReply holder) implements KeyDecision {
	}

	/**
	 * Nobody can tell whether the key was used.
	 */
	record Doubtful() implements KeyDecision {
	}

}
