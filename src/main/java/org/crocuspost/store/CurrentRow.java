package org.crocuspost.store;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;

/**
 * Reads the current state of a row even if ordinary reads may be stale. The read is a
 * transaction that writes nothing and requires the row to be absent: if it conflicts, the
 * answer contains the row.
 */
public final class CurrentRow {

	private CurrentRow() {
	}

	/**
	 * Reads a row. The table service counts the call as a write.
	 * @param table the table service
	 * @param key the key of the row
	 * @return the row as it was at some moment during the call, or the failure of the
	 * call
	 */
	public static Either<Failure, Row> read(TableService table, String key) {
		return table.commit(Transaction.empty().require(key, Row.ABSENT))
			.map((result) -> (result instanceof CommitResult.Conflict conflict) ? conflict.rows().head()
					: Row.absent(key));
	}

}
