package org.crocuspost.host;

/**
 * What became of an order to the worker.
 *
 * @param kind the kind of outcome
 * @param reason the reason, for logs
 */
public record OrderOutcome(Kind kind, String reason) {

	/**
	 * Kind of outcome.
	 */
	public enum Kind {

		/**
		 * The worker has obeyed.
		 */
		OBEYED,

		/**
		 * The worker has refused and did nothing.
		 */
		REFUSED,

		/**
		 * The worker has seen a higher fencing token and did nothing.
		 */
		FENCED,

		/**
		 * Another life of the worker has answered; it did nothing.
		 */
		OTHER_LIFE,

		/**
		 * The order never left.
		 */
		NEVER_SENT,

		/**
		 * There was no answer: the order may be obeyed, even seconds later.
		 */
		UNKNOWN

	}

}
