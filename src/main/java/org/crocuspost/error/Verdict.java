package org.crocuspost.error;

/**
 * States whether a request or a write may have taken effect.
 */
public enum Verdict {

	/**
	 * The request has not run and never will.
	 */
	NOT_RUN("not-run"),

	/**
	 * The request may have run, may be running or may still run.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * The request has run to completion.
	 */
	RAN("ran");

	private final String label;

	Verdict(String label) {
		this.label = label;
	}

	/**
	 * Returns the verdict as it appears in headers, logs and reports.
	 * @return the label in lower case
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns whether the same request may be sent again although it is not idempotent.
	 * @return true for {@link #NOT_RUN} only
	 */
	public boolean allowsAnotherAttempt() {
		return this == NOT_RUN;
	}

}
