package org.crocuspost.rows;

import java.util.List;

/**
 * Holds a page of a partition of a table as of a single point in time.
 *
 * @param rows the rows in the order of their keys
 * @param complete whether the page reaches the end of the partition
 * @param storeVersion the latest version of the store at that point
 */
public record RowPage(List<StoredRow> rows, boolean complete, long storeVersion) {

	public RowPage {
		rows = List.copyOf(rows);
	}

}
