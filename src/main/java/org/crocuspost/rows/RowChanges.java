package org.crocuspost.rows;

import java.util.List;

/**
 * Changes of a table.
 *
 * @param historyLost whether the store no longer has the changes after the requested
 * version, so that the table must be read anew
 * @param rows the changed rows in order; a deleted row has the version
 * {@link StoredRow#ABSENT}
 * @param storeVersion the version up to which the changes are now known
 */
public record RowChanges(boolean historyLost, List<StoredRow> rows, long storeVersion) {

	/**
	 * Stands for a history that the store has discarded.
	 */
	public static final RowChanges HISTORY_LOST = new RowChanges(true, List.of(), 0);

	public RowChanges {
		rows = List.copyOf(rows);
	}

}
