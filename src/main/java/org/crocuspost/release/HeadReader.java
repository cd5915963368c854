package org.crocuspost.release;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;

/**
 * Reads the head row.
 */
public final class HeadReader {

	private final TableService table;

	/**
	 * Creates the reader.
	 * @param table the table service
	 */
	public HeadReader(TableService table) {
		this.table = table;
	}

	/**
	 * Reads the head row. The read may be served by a replica that lags behind.
	 * @return the row
	 */
	public Either<Failure, Row> read() {
		return this.table.read(TableKeys.CONFIGURATION_HEAD);
	}

	/**
	 * Reads the head row and has it confirmed by a transaction that holds one condition
	 * and no write. A transaction is never served by a lagging replica, so the result was
	 * the newest at some moment during the call.
	 * @return the row
	 */
	public Either<Failure, Row> readConfirmed() {
		return read().flatMap(this::confirm);
	}

	private Either<Failure, Row> confirm(Row row) {
		Transaction check = Transaction.empty().require(TableKeys.CONFIGURATION_HEAD, row.version());
		return this.table.commit(check)
			.map((result) -> (result instanceof CommitResult.Conflict conflict) ? conflict.rows().head() : row);
	}

}
