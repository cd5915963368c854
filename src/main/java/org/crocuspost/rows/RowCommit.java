package org.crocuspost.rows;

import java.util.List;

/**
 * Definite outcome of a transaction.
 *
 * @param applied whether all writes were applied; otherwise none was
 * @param version the version of the written rows if they were applied
 * @param current the present state of the rows in the conditions if none was applied
 */
public record RowCommit(boolean applied, long version, List<StoredRow> current) {

	public RowCommit {
		current = List.copyOf(current);
	}

}
