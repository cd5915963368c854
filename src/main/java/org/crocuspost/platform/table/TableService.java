package org.crocuspost.platform.table;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Transactional table of versioned rows. Calls block until the platform responds or the
 * timeout of the call expires. They never throw.
 *
 * <p>
 * A call that fails with {@code STORE_UNAVAILABLE} had no effect. Only
 * {@link #commit(Transaction)} fails with {@code STORE_UNKNOWN}; the transaction may then
 * have been applied or may still be applied.
 */
public interface TableService {

	/**
	 * Reads all rows whose keys start with a prefix in one consistent read.
	 * @param prefix the prefix; a complete key selects its own row and every row whose
	 * key starts with it
	 * @return the rows, sorted by key
	 */
	Either<Failure, Seq<Row>> scan(String prefix);

	/**
	 * Reads one row.
	 * @param key the key
	 * @return the row; a row that does not exist has version {@link Row#ABSENT}
	 */
	Either<Failure, Row> read(String key);

	/**
	 * Applies all writes of a transaction if all its conditions hold, otherwise none.
	 * @param transaction the conditions and writes
	 * @return the written rows, or the rows whose conditions did not hold
	 */
	Either<Failure, CommitResult> commit(Transaction transaction);

}
