package org.crocuspost.rows;

import java.util.List;

/**
 * Learns of the rows of a watched table.
 */
public interface RowWatchListener {

	/**
	 * All rows of the table were read, at the start or because the history was lost. Rows
	 * that are missing do not exist.
	 * @param rows the rows
	 */
	void tableRead(List<StoredRow> rows);

	/**
	 * Rows were written or removed.
	 * @param rows the rows in order; a removed row has the version
	 * {@link StoredRow#ABSENT}
	 */
	void rowsChanged(List<StoredRow> rows);

}
