package org.crocuspost.lead;

import java.time.Duration;

import org.crocuspost.rows.RowWatch;

/**
 * Settings of the watches by which a process follows the tables. Calls to the store are
 * billed, so entry processes wait between two of them.
 */
public final class TableWatchSettings {

	/**
	 * Settings with which the leader follows accepted jobs and cancellations with little
	 * delay.
	 */
	public static final RowWatch.Settings INTAKE_WATCH = new RowWatch.Settings(Duration.ofSeconds(2),
			Duration.ofMillis(20));

	/**
	 * Settings with which the leader follows submissions. While there are none, the end
	 * of each wait shows up to which version the ledger is complete.
	 */
	public static final RowWatch.Settings SUBMISSION_WATCH = new RowWatch.Settings(Duration.ofSeconds(1),
			Duration.ofMillis(20));

	/**
	 * Settings with which entry processes follow the progress of jobs.
	 */
	public static final RowWatch.Settings LEDGER_WATCH = new RowWatch.Settings(Duration.ofMillis(1_000),
			Duration.ofMillis(120));

	/**
	 * Settings with which entry processes follow the operator's rows.
	 */
	public static final RowWatch.Settings OPERATOR_WATCH = new RowWatch.Settings(Duration.ofMillis(900),
			Duration.ofMillis(20));

	private TableWatchSettings() {
	}

}
