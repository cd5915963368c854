package org.crocuspost.rows;

import java.util.List;

/**
 * Holds the changes of a table after a requested version.
 *
 * @param historyLost whether the store has discarded the changes after the requested
 * version, so that the whole table must be read again
 * @param rows the changed rows in the order of the changes; a deleted row has the version
 * {@link StoredRow#ABSENT}
 * @param storeVersion the version up to which the changes are complete
 */
public record RowChanges(boolean historyLost, List<StoredRow> rows, long storeVersion) {

	/**
	 * Answer of a store that has discarded the requested changes.
	 */
	public static final RowChanges HISTORY_LOST = new RowChanges(true, List.of(), 0);

	public RowChanges {
		rows = List.copyOf(rows);
	}

}
