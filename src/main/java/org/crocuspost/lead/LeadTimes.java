package org.crocuspost.lead;

import java.time.Duration;

/**
 * Times of the leadership.
 */
final class LeadTimes {

	/**
	 * A leader that has nothing else to record writes its row so often.
	 */
	static final Duration RENEWAL = Duration.ofMillis(700);

	/**
	 * Silence after which others take over: three renewals, and time for a slow store.
	 */
	static final Duration TAKEOVER = Duration.ofMillis(2_500);

	/**
	 * A view of a table that is older does not count as silence of the leader but of the
	 * store.
	 */
	static final Duration FRESH_VIEW = Duration.ofMillis(1_500);

	/**
	 * A leader that could not record anything for so long stops to extend leases. It
	 * outlasts the outages of the store that the platform's pages describe, so that work
	 * goes on through them.
	 */
	static final Duration GRANTS_WITHOUT_STORE = Duration.ofSeconds(12);

	/**
	 * The leader starts nothing if its view of the operator's rows is older. Changes must
	 * be in force after two seconds.
	 */
	static final Duration OPERATOR_VIEW = Duration.ofMillis(1_500);

	/**
	 * Time between two looks at the state of the leadership.
	 */
	static final Duration TICK = Duration.ofMillis(100);

	/**
	 * Time that the leader gathers changes before it records them together.
	 */
	static final Duration GATHER = Duration.ofMillis(15);

	/**
	 * Pause before a transaction is tried again.
	 */
	static final Duration RETRY_PAUSE = Duration.ofMillis(150);

	/**
	 * The most jobs in a transaction; the store takes 100 entries.
	 */
	static final int JOBS_A_TRANSACTION = 60;

	private LeadTimes() {
	}

}
