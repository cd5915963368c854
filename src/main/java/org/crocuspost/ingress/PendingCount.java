package org.crocuspost.ingress;

import java.util.Objects;

/**
 * Number of jobs of a queue of which no task has started, with what it was counted from.
 *
 * @param recorded the jobs that the ledger's rows state as queued
 * @param accepted the jobs that this process has accepted and the ledger's rows do not
 * contain
 * @param view the state of the ledger's rows
 */
public record PendingCount(int recorded, int accepted, LedgerView view) {

	public PendingCount {
		Objects.requireNonNull(view, "view");
	}

	/**
	 * Returns the number that callers receive.
	 * @return the number of jobs
	 */
	public int total() {
		return this.recorded + this.accepted;
	}

}
