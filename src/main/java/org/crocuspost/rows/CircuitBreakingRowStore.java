package org.crocuspost.rows;

import java.time.Duration;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.store.CircuitBreaker;

/**
 * Fails commits and single reads immediately while the circuit breaker is open, so that
 * callers can be asked to retry later instead of waiting for a call that fails. Scans and
 * watches bypass the breaker and always call the store; their first success closes the
 * breaker.
 */
public final class CircuitBreakingRowStore implements RowStore {

	private final RowStore store;

	private final CircuitBreaker breaker;

	/**
	 * Creates the store.
	 * @param store the store to call
	 * @param breaker the circuit breaker; must not be shared with another store
	 */
	public CircuitBreakingRowStore(RowStore store, CircuitBreaker breaker) {
		this.store = store;
		this.breaker = breaker;
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		if (this.breaker.tryAcquirePermission()) {
			this.store.commit(transaction, recordingOutcome(answer));
		}
		else {
			answer.accept(circuitOpen());
		}
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		if (this.breaker.tryAcquirePermission()) {
			this.store.read(table, key, recordingOutcome(answer));
		}
		else {
			answer.accept(circuitOpen());
		}
	}

	@Override
	public int partitions(String table) {
		return this.store.partitions(table);
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		this.store.scan(request, recordingOutcome(answer));
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		this.store.changes(table, afterVersion, maximumWait, recordingOutcome(answer));
	}

	private <T> Consumer<Either<Failure, T>> recordingOutcome(Consumer<Either<Failure, T>> answer) {
		return (outcome) -> {
			if (outcome.isRight() || outcome.getLeft().code() == ErrorCode.STORE_REJECTED) {
				this.breaker.recordSuccess();
			}
			else {
				this.breaker.recordFailure();
			}
			answer.accept(outcome);
		};
	}

	private static <T> Either<Failure, T> circuitOpen() {
		return Either.left(ErrorCode.STORE_UNAVAILABLE.with("it has failed and is not called for a while"));
	}

}
