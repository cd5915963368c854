package org.crocuspost.dispatch;

import java.util.Locale;

/**
 * Who refused a start, and why. A bounded number of kinds stands for the reasons, which
 * are free texts.
 */
public enum RefusalKind {

	/**
	 * The agent knows no worker, or another incarnation of it.
	 */
	OTHER_WORKER,

	/**
	 * The worker drains.
	 */
	DRAINING,

	/**
	 * The agent does not know which incarnation of the worker answers.
	 */
	UNCERTAIN,

	/**
	 * The lease of the worker is too short, or the worker does not answer.
	 */
	NO_LEASE,

	/**
	 * The runs on the worker leave too little capacity, or its announcement is too old.
	 */
	NO_CAPACITY,

	/**
	 * The worker refused the start, or the call failed.
	 */
	WORKER;

	/**
	 * Returns the kind of a refusal.
	 * @param reason the reason that the agent gave
	 * @return the kind
	 */
	public static RefusalKind of(String reason) {
		return switch (reason) {
			case "other worker" -> OTHER_WORKER;
			case "draining" -> DRAINING;
			case "the worker's life is uncertain" -> UNCERTAIN;
			case "no lease" -> NO_LEASE;
			case "no capacity", "the announced capacity is out of date" -> NO_CAPACITY;
			default -> WORKER;
		};
	}

	/**
	 * Returns the kind as it appears in metrics.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
