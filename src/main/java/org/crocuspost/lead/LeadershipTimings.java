package org.crocuspost.lead;

import java.time.Duration;

/**
 * Intervals, timeouts and limits of leader election and of the leader.
 */
final class LeadershipTimings {

	/**
	 * Interval at which a leader that has nothing else to record renews its row.
	 */
	static final Duration RENEWAL_INTERVAL = Duration.ofMillis(700);

	/**
	 * Time without a change of the leader's row after which another process takes over:
	 * three renewal intervals, and time for a slow store.
	 */
	static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(2_500);

	/**
	 * Maximum age of the view of the ledger at which an unchanged leader's row counts as
	 * a failure of the leader. If the view is older, it is the store that does not
	 * respond.
	 */
	static final Duration MAXIMUM_LEDGER_VIEW_AGE = Duration.ofMillis(1_500);

	/**
	 * Time after which the leader stops extending leases, counted from the answer of the
	 * store on which its last applied transaction rests. It is longer than the outages of
	 * the store that the platform's documentation describes, so that work continues
	 * through them. That answer is older than the transaction by up to a renewal interval
	 * and the time of a check, so the work goes on for 12 s after the transaction.
	 */
	static final Duration LEASE_EXTENSION_WITHOUT_STORE = Duration.ofSeconds(13);

	/**
	 * Age of the answer on which the deadline in the leader's row rests from which on the
	 * row is renewed although a transaction was applied lately. In normal operation it is
	 * up to two renewal intervals old.
	 */
	static final Duration MAXIMUM_EXTENSION_BASIS_AGE = RENEWAL_INTERVAL.multipliedBy(3);

	/**
	 * Maximum age of the view of the operator's rows at which the leader starts tasks.
	 * Changes must be in force after two seconds.
	 */
	static final Duration MAXIMUM_OPERATOR_VIEW_AGE = Duration.ofMillis(1_500);

	/**
	 * Maximum time from sending a transaction to sending the start orders that it
	 * records. Shorter than the time after which another process takes over: the store
	 * may have answered before this process was suspended.
	 */
	static final Duration MAXIMUM_START_DELAY = Duration.ofMillis(2_000);

	/**
	 * Interval between two checks of the state of the leadership.
	 */
	static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	/**
	 * Time for which waiting reports are processed before other events are handled.
	 */
	static final Duration MAXIMUM_REPORT_TURN = Duration.ofMillis(40);

	/**
	 * Time since the last check from which on the process counts as having been busy or
	 * suspended.
	 */
	static final Duration LATE_TICK = TICK_INTERVAL.multipliedBy(4);

	/**
	 * Time for which the leader collects changes before it records them in one
	 * transaction.
	 */
	static final Duration BATCHING_DELAY = Duration.ofMillis(15);

	/**
	 * Minimum time between two records of what the leader has learned of the load.
	 */
	static final Duration MODEL_INTERVAL = Duration.ofSeconds(5);

	/**
	 * Interval at which the work ahead of new jobs is measured, and minimum time between
	 * two records of it.
	 */
	static final Duration ADMISSION_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Time after which unchanged admission figures are recorded again. With the
	 * difference of two clocks and the delay of the store, they stay younger than
	 * {@link #ADMISSION_VALIDITY}.
	 */
	static final Duration ADMISSION_RENEWAL = Duration.ofSeconds(2);

	/**
	 * Time for which admission figures may be used.
	 */
	static final Duration ADMISSION_VALIDITY = Duration.ofSeconds(5);

	/**
	 * Minimum time between two records of the version up to which all submissions are in
	 * the ledger. It is at most the renewal interval, so that a renewal can carry it.
	 */
	static final Duration RECORDED_SUBMISSIONS_INTERVAL = Duration.ofMillis(600);

	/**
	 * Interval at which rows of rejected jobs are removed.
	 */
	static final Duration REJECTED_JOBS_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Delay before a failed transaction or read is retried.
	 */
	static final Duration RETRY_DELAY = Duration.ofMillis(150);

	/**
	 * Maximum number of rows in a transaction besides the leader's row. The store accepts
	 * 100 entries in a transaction.
	 */
	static final int MAXIMUM_ROWS_PER_TRANSACTION = 90;

	/**
	 * Maximum length of the rows in a transaction, in characters. The store accepts 1 MB,
	 * the encoding adds a third, and the remainder is for the keys and the model.
	 */
	static final int MAXIMUM_ROW_CHARACTERS_PER_TRANSACTION = 500_000;

	private LeadershipTimings() {
	}

}
