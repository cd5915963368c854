package org.crocuspost.rows;

import java.time.Duration;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.store.CircuitBreaker;

/**
 * Fails commits and single reads at once while the store does not answer, so that callers
 * can be told to come back instead of waiting for a call that fails. Watches go on to
 * call the store; their first success lets everything through again.
 */
public final class CircuitBreakingRowStore implements RowStore {

	private final RowStore store;

	private final CircuitBreaker breaker;

	/**
	 * Creates the store.
	 * @param store makes the calls
	 * @param breaker decides whether calls are made; used by this store only
	 */
	public CircuitBreakingRowStore(RowStore store, CircuitBreaker breaker) {
		this.store = store;
		this.breaker = breaker;
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		if (this.breaker.tryAcquirePermission()) {
			this.store.commit(transaction, observed(answer));
		}
		else {
			answer.accept(notCalled());
		}
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		if (this.breaker.tryAcquirePermission()) {
			this.store.read(table, key, observed(answer));
		}
		else {
			answer.accept(notCalled());
		}
	}

	@Override
	public void scan(String table, String fromKey, Consumer<Either<Failure, RowPage>> answer) {
		this.store.scan(table, fromKey, observed(answer));
	}

	@Override
	public void changes(String table, long afterVersion, Duration patience,
			Consumer<Either<Failure, RowChanges>> answer) {
		this.store.changes(table, afterVersion, patience, observed(answer));
	}

	private <T> Consumer<Either<Failure, T>> observed(Consumer<Either<Failure, T>> answer) {
		return (outcome) -> {
			if (outcome.isRight()) {
				this.breaker.recordSuccess();
			}
			else {
				this.breaker.recordFailure();
			}
			answer.accept(outcome);
		};
	}

	private static <T> Either<Failure, T> notCalled() {
		return Either.left(ErrorCode.STORE_UNAVAILABLE.with("it has failed and is not called for a while"));
	}

}
