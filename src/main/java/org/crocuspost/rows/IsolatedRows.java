package org.crocuspost.rows;

import java.util.List;
import java.util.function.Consumer;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;

/**
 * Applies rows one by one, so that an unexpected error on one row does not keep the
 * others from being applied.
 */
public final class IsolatedRows {

	private IsolatedRows() {
	}

	/**
	 * Applies each row. A row that causes an unexpected error is logged and left out.
	 * @param rows the rows
	 * @param application applies one row
	 */
	public static void apply(List<StoredRow> rows, Consumer<StoredRow> application) {
		rows.forEach((row) -> apply(row, application));
	}

	/**
	 * Applies a row. If it causes an unexpected error, it is logged and left out.
	 * @param row the row
	 * @param application applies the row
	 */
	public static void apply(StoredRow row, Consumer<StoredRow> application) {
		try {
			application.accept(row);
		}
		catch (RuntimeException | StackOverflowError ex) {
			EventLog.error(ex, RowEvent.ROW_NOT_APPLIED, Field.of("key", row.key()),
					Field.of("version", row.version()));
		}
	}

}
