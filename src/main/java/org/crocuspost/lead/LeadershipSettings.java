package org.crocuspost.lead;

import java.time.Duration;

import org.crocuspost.rows.RowWatch;

/**
 * Pace at which a process follows the tables. Calls are paid for, so entries wait a
 * little between two of them.
 */
public final class LeadershipSettings {

	/**
	 * The leader follows accepted jobs and cancellations closely.
	 */
	public static final RowWatch.Settings INTAKE_WATCH = new RowWatch.Settings(Duration.ofSeconds(2),
			Duration.ofMillis(20));

	/**
	 * Entries follow the progress of jobs.
	 */
	public static final RowWatch.Settings LEDGER_WATCH = new RowWatch.Settings(Duration.ofMillis(1_000),
			Duration.ofMillis(120));

	/**
	 * Entries follow the operator.
	 */
	public static final RowWatch.Settings OPERATOR_WATCH = new RowWatch.Settings(Duration.ofMillis(900),
			Duration.ofMillis(20));

	private LeadershipSettings() {
	}

}
