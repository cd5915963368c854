package org.crocuspost.platform.table;

import io.vavr.collection.Seq;

/**
 * Result of a transaction of the table service.
 */
public sealed interface CommitResult {

	/**
	 * All writes were applied.
	 *
	 * @param rows the written rows with their new versions; deleted rows are absent
	 */
	record Committed(Seq<Row> rows) implements CommitResult {
	}

	/**
	 * At least one condition did not hold, and nothing was written.
	 *
	 * @param rows the current state of the rows whose conditions did not hold
	 */
	record Conflict(Seq<Row> rows) implements CommitResult {
	}

}
