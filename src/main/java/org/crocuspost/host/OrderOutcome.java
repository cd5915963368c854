package org.crocuspost.host;

/**
 * Outcome of an order to the worker.
 *
 * @param kind the kind of outcome
 * @param reason the reason, for logs and reports to the leader
 */
public record OrderOutcome(Kind kind, String reason) {

	/**
	 * Kind of outcome.
	 */
	public enum Kind {

		/**
		 * The worker has carried out the order.
		 */
		OBEYED,

		/**
		 * The worker has refused the order and did nothing.
		 */
		REFUSED,

		/**
		 * The worker has seen a higher fencing token and did nothing.
		 */
		FENCED,

		/**
		 * Another incarnation of the worker has answered; it did nothing.
		 */
		OTHER_LIFE,

		/**
		 * The order was not sent.
		 */
		NEVER_SENT,

		/**
		 * There was no answer: the order may still be carried out, even seconds later.
		 */
		UNKNOWN

	}

}
