package org.crocuspost.ingress;

import java.time.Duration;
import java.util.Objects;

import org.crocuspost.rows.RowWatch;

/**
 * State of the ledger's rows that this process has received.
 *
 * @param read whether the whole table was read at least once
 * @param version the version of the store that the rows stand for; -1 if the table was
 * never read
 * @param age the maximum age of the rows; one day if the table was never read
 * @param submissionsAge the time since which accepted jobs may be missing in the rows;
 * one day if it is unknown
 */
public record LedgerView(boolean read, long version, Duration age, Duration submissionsAge) {

	/**
	 * View of a process that has read nothing.
	 */
	public static final LedgerView UNREAD = new LedgerView(false, -1, Duration.ofDays(1), Duration.ofDays(1));

	public LedgerView {
		Objects.requireNonNull(age, "age");
		Objects.requireNonNull(submissionsAge, "submissionsAge");
	}

	/**
	 * Returns the current state of a watch.
	 * @param watch the watch of the ledger
	 * @param recordedSubmissions the version of the store up to which all submissions are
	 * in the ledger; -1 if it is unknown
	 * @return the state
	 */
	public static LedgerView of(RowWatch watch, long recordedSubmissions) {
		return new LedgerView(watch.hasReadTable(), watch.version(), watch.age(), watch.ageOf(recordedSubmissions));
	}

}
