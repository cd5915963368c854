package org.crocuspost.store;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;

/**
 * Table service whose calls pass through a {@link StoreProtection}.
 */
public final class ProtectedTableService implements TableService {

	private final TableService table;

	private final StoreProtection protection;

	/**
	 * Creates the protected service.
	 * @param table the table service
	 * @param protection the protection, which refuses calls while the store fails or is
	 * overloaded
	 */
	public ProtectedTableService(TableService table, StoreProtection protection) {
		this.table = table;
		this.protection = protection;
	}

	@Override
	public Either<Failure, Seq<Row>> scan(String prefix) {
		return this.protection.call(() -> this.table.scan(prefix));
	}

	@Override
	public Either<Failure, Row> read(String key) {
		return this.protection.call(() -> this.table.read(key));
	}

	@Override
	public Either<Failure, CommitResult> commit(Transaction transaction) {
		return this.protection.call(() -> this.table.commit(transaction));
	}

}
