package org.crocuspost.release;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;

/**
 * Reads the head row, which identifies the newest configuration.
 */
public final class ConfigurationHeadReader {

	private final TableService table;

	/**
	 * Creates the reader.
	 * @param table the table service
	 */
	public ConfigurationHeadReader(TableService table) {
		this.table = table;
	}

	/**
	 * Reads the head row. A lagging replica may serve the read.
	 * @return the row
	 */
	public Either<Failure, Row> read() {
		return this.table.read(TableKeys.CONFIGURATION_HEAD);
	}

	/**
	 * Reads the head row and confirms it by a transaction that has one condition and no
	 * write. A lagging replica never serves a transaction, so the result was the newest
	 * at some moment during the call.
	 * @return the row
	 */
	public Either<Failure, Row> readConfirmed() {
		return read().flatMap(this::confirm);
	}

	private Either<Failure, Row> confirm(Row row) {
		Transaction confirmation = Transaction.empty().require(TableKeys.CONFIGURATION_HEAD, row.version());
		return this.table.commit(confirmation)
			.map((result) -> (result instanceof CommitResult.Conflict conflict) ? conflict.rows().head() : row);
	}

}
