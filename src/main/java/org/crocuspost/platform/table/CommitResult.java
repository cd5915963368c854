package org.crocuspost.platform.table;

import io.vavr.collection.Seq;

/**
 * Answer of the table service to a transaction.
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
	 * A condition did not hold; nothing was written.
	 *
	 * @param rows the present state of the rows whose conditions did not hold
	 */
	record Conflict(Seq<Row> rows) implements CommitResult {
	}

}
