package org.crocuspost.rows;

import java.util.List;

/**
 * Receives the rows of a watched table.
 */
public interface RowWatchListener {

	/**
	 * Receives all rows of the table, at the start or after the store has discarded
	 * changes that were not read yet. A row that is missing does not exist.
	 * @param rows the rows in the order of their keys
	 */
	void tableRead(List<StoredRow> rows);

	/**
	 * Receives rows that were written or removed.
	 * @param rows the rows in the order of the changes; a removed row has the version
	 * {@link StoredRow#ABSENT}
	 */
	void rowsChanged(List<StoredRow> rows);

	/**
	 * Called for each page of the table that the store returns, before the whole table is
	 * passed on.
	 * @param rows the number of rows in the page
	 */
	default void pageRead(int rows) {
	}

	/**
	 * Called for each call of the store that has failed and is repeated.
	 * @param reason why it failed
	 */
	default void readFailed(String reason) {
	}

}
