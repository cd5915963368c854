package org.crocuspost.platform.table;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Transactional table of versioned rows. Calls block until the platform answers or the
 * call's time limit passes; they never throw.
 *
 * <p>
 * A failure with {@code STORE_UNAVAILABLE} had no effect. A failure with
 * {@code STORE_UNKNOWN} comes from {@link #commit(Transaction)} only and may have taken
 * effect.
 */
public interface TableService {

	/**
	 * Reads rows by key prefix in one consistent read.
	 * @param prefix the prefix; a whole key reads that row and any row whose key it
	 * begins
	 * @return the rows in order of key
	 */
	Either<Failure, Seq<Row>> scan(String prefix);

	/**
	 * Reads one row.
	 * @param key the key
	 * @return the row; a row that does not exist has version {@link Row#ABSENT}
	 */
	Either<Failure, Row> read(String key);

	/**
	 * Applies all writes of a transaction if all its conditions hold, else none.
	 * @param transaction conditions and writes
	 * @return whether the writes were applied
	 */
	Either<Failure, CommitResult> commit(Transaction transaction);

}
