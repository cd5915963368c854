package org.crocuspost.platform.http;

import java.util.List;

import org.crocuspost.platform.table.Row;

/**
 * Rows in an answer of the table service.
 *
 * @param rows the rows
 */
public record RowsBody(List<Row> rows) {

	public RowsBody {
		rows = List.copyOf(rows);
	}

}
