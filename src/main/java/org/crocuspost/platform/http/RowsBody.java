package org.crocuspost.platform.http;

import java.util.List;

import org.crocuspost.platform.table.Row;

/**
 * Body of a table service response that contains rows.
 *
 * @param rows the rows
 */
public record RowsBody(List<Row> rows) {

	public RowsBody {
		rows = List.copyOf(rows);
	}

}
