package org.crocuspost.rows;

import java.util.List;

/**
 * Holds the definite outcome of a transaction.
 *
 * @param applied true if all writes were applied, false if none was
 * @param version the version of the written rows if they were applied
 * @param current the current state of the rows named in the conditions if no write was
 * applied
 */
public record RowCommit(boolean applied, long version, List<StoredRow> current) {

	public RowCommit {
		current = List.copyOf(current);
	}

}
