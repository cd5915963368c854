package org.crocuspost.retry;

import org.crocuspost.wire.KeyClaimReply;

/**
 * Result of claiming an idempotency key for a request.
 */
sealed interface KeyClaimResult {

	/**
	 * The key belongs to the request.
	 */
	record Granted() implements KeyClaimResult {
	}

	/**
	 * The key belongs to another request.
	 *
	 * @param holder the request that holds the key
	 */
	record Held(KeyClaimReply holder) implements KeyClaimResult {
	}

	/**
	 * It cannot be determined whether the key was used before.
	 */
	record Unknown() implements KeyClaimResult {
	}

}
