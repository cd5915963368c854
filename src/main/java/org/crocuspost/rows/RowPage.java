package org.crocuspost.rows;

import java.util.List;

/**
 * Rows of a table as of a single moment.
 *
 * @param rows the rows in the order of their keys
 * @param complete whether no row follows
 * @param storeVersion the newest version of the store at that moment
 */
public record RowPage(List<StoredRow> rows, boolean complete, long storeVersion) {

	public RowPage {
		rows = List.copyOf(rows);
	}

}
