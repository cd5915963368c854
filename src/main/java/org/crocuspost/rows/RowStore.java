package org.crocuspost.rows;

import java.time.Duration;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Store of versioned rows. Calls are asynchronous; answers arrive on the event loop of
 * the process.
 *
 * <p>
 * A call that fails with {@code STORE_UNAVAILABLE} had no effect. Only {@link #commit}
 * fails with {@code STORE_UNKNOWN}; the transaction may then still take effect. A commit
 * that fails with {@code STORE_REJECTED} had no effect, and the same transaction fails
 * again.
 */
public interface RowStore {

	/**
	 * Suffix that turns a key into the start of the range of keys after it. Keys contain
	 * no characters that sort before it.
	 */
	String KEY_SUCCESSOR_SUFFIX = "!";

	/**
	 * Maximum number of rows of a page.
	 */
	int MAXIMUM_PAGE_ROWS = 500;

	/**
	 * Applies all writes and removals of a transaction or none. All rows of a transaction
	 * must be in one partition.
	 * @param transaction the transaction
	 * @param answer receives the outcome
	 */
	void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer);

	/**
	 * Reads one row.
	 * @param table the table
	 * @param key the key
	 * @param answer receives the row; its version is {@link StoredRow#ABSENT} if it does
	 * not exist
	 */
	void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer);

	/**
	 * Returns the number of partitions whose rows {@link #scan} returns separately.
	 * @param table the table
	 * @return the number, at least 1
	 */
	int partitions(String table);

	/**
	 * Reads a page of a partition in the order of keys.
	 * @param request the page to read
	 * @param answer receives the page
	 */
	void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer);

	/**
	 * Reads the changes of a table after a version, and waits for one if there is none.
	 * @param table the table
	 * @param afterVersion the version after which changes are returned
	 * @param maximumWait how long the store waits for a change
	 * @param answer receives the changes
	 */
	void changes(String table, long afterVersion, Duration maximumWait, Consumer<Either<Failure, RowChanges>> answer);

}
