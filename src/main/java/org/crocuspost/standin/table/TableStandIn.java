package org.crocuspost.standin.table;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.CallCounter;
import org.crocuspost.standin.Pause;
import org.crocuspost.standin.StoreCounts;
import org.crocuspost.standin.StoreFaults;
import org.crocuspost.standin.WriteFault;
import org.jspecify.annotations.Nullable;

/**
 * In-memory table service. Safe for use by several threads; every transaction and every
 * scan is atomic.
 */
public final class TableStandIn implements TableService {

	private final RowSet rows = new RowSet();

	private final Deque<Transaction> heldTransactions = new ArrayDeque<>();

	private final CallCounter counter = new CallCounter();

	private final StoreFaults faults = new StoreFaults();

	private final Pause pause;

	private @Nullable RowSet staleRows;

	/**
	 * Creates an empty table that does not wait in slow calls.
	 */
	public TableStandIn() {
		this(Pause.none());
	}

	/**
	 * Creates an empty table.
	 * @param pause waits in slow calls
	 */
	public TableStandIn(Pause pause) {
		this.pause = pause;
	}

	/**
	 * Returns the fault settings.
	 * @return the settings
	 */
	public StoreFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the counts of the calls so far.
	 * @return the counts
	 */
	public StoreCounts counts() {
		return this.counter.counts();
	}

	/**
	 * Applies the transactions that were held back by {@link WriteFault#HELD}, in order.
	 * Their conditions are checked when they are applied.
	 * @return the number of transactions that were applied
	 */
	public synchronized int applyHeld() {
		int applied = 0;
		while (!this.heldTransactions.isEmpty()) {
			if (apply(this.heldTransactions.removeFirst()) instanceof CommitResult.Committed) {
				applied++;
			}
		}
		return applied;
	}

	@Override
	public Either<Failure, Seq<Row>> scan(String prefix) {
		Either<Failure, Seq<Row>> result = read((rows) -> rows.scan(prefix));
		result.forEach((found) -> this.counter.returned(found.size()));
		return result;
	}

	@Override
	public Either<Failure, Row> read(String key) {
		Either<Failure, Row> result = read((rows) -> rows.read(key));
		result.forEach((row) -> this.counter.returned(1));
		return result;
	}

	private <T> Either<Failure, T> read(Function<RowSet, T> reader) {
		this.counter.read();
		this.pause.await(this.faults.delay());
		if (this.faults.isDown()) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the table service is down"));
		}
		synchronized (this) {
			return Either.right(reader.apply(readableRows()));
		}
	}

	private RowSet readableRows() {
		if (!this.faults.hasStaleReads()) {
			this.staleRows = null;
			return this.rows;
		}
		if (this.staleRows == null) {
			this.staleRows = new RowSet(this.rows);
		}
		return this.staleRows;
	}

	@Override
	public Either<Failure, CommitResult> commit(Transaction transaction) {
		this.counter.write();
		this.pause.await(this.faults.delay());
		if (this.faults.isDown()) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the table service is down"));
		}
		return switch (this.faults.takeWriteFault()) {
			case NONE -> Either.right(apply(transaction));
			case LOST_BEFORE_WRITE -> lost();
			case LOST_AFTER_WRITE -> {
				apply(transaction);
				yield lost();
			}
			case HELD -> {
				hold(transaction);
				yield lost();
			}
		};
	}

	private synchronized CommitResult apply(Transaction transaction) {
		readableRows();
		CommitResult result = this.rows.apply(transaction);
		if (result instanceof CommitResult.Committed) {
			this.counter.changed(transaction.writes().size());
		}
		return result;
	}

	private synchronized void hold(Transaction transaction) {
		this.heldTransactions.addLast(transaction);
	}

	private static Either<Failure, CommitResult> lost() {
		return Either.left(ErrorCode.STORE_UNKNOWN.with("the answer was lost"));
	}

}
