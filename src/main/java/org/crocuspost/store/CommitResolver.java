package org.crocuspost.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.time.Timer;

/**
 * Commits transactions and determines the outcome of those whose answer was lost.
 *
 * <p>
 * Reading the rows is not sufficient. Example: a commit that requires version 4 of a row
 * gets no answer, and a read still returns version 4. The caller concludes that nothing
 * was written and continues with something else. Then the write, which was only delayed,
 * takes effect. Therefore the same transaction is sent again until the answer is
 * definite. It requires the version of a row that it also writes, so that at most one of
 * its copies takes effect. If a copy conflicts, then either an earlier copy took effect,
 * which its evidence row shows, or another writer came first and no copy can take effect
 * any more. The evidence row is a row that the transaction writes with a value that no
 * other transaction writes.
 *
 * <p>
 * No other transaction may overwrite the evidence row before the resolution ends, and a
 * row that a transaction requires to be absent must not be deleted once it exists.
 */
public final class CommitResolver {

	private final TableService table;

	private final Timer timer;

	private final Backoff backoff;

	private final RandomGenerator random;

	/**
	 * Creates a resolver.
	 * @param table the table service
	 * @param timer the timer that runs retries; its thread may be blocked for the
	 * duration of a call
	 * @param backoff the delays between attempts
	 * @param random the source of jitter
	 */
	public CommitResolver(TableService table, Timer timer, Backoff backoff, RandomGenerator random) {
		this.table = table;
		this.timer = timer;
		this.backoff = backoff;
		this.random = random;
	}

	/**
	 * Commits a transaction and retries until the outcome is known or the limit of
	 * attempts is reached.
	 * @param transaction the transaction, which must require the version of a row that it
	 * also writes
	 * @param evidenceKey the key of a row that the transaction writes with a value that
	 * no other transaction writes
	 * @param maxAttempts the maximum number of times that the transaction is sent
	 * @return the outcome; the committed rows contain only the evidence row if the answer
	 * was lost; {@code STORE_UNKNOWN} if the outcome is unknown after the last attempt,
	 * {@code STORE_UNAVAILABLE} if no attempt can have taken effect
	 * @throws IllegalArgumentException if the transaction does not write the evidence row
	 * or requires no version of a row that it writes
	 */
	public CompletionStage<Either<Failure, CommitResult>> commit(Transaction transaction, String evidenceKey,
			int maxAttempts) {
		requireConditionOnWrittenRow(transaction);
		String value = transaction.writes()
			.find((write) -> write.key().equals(evidenceKey) && !write.deletion())
			.getOrElseThrow(() -> new IllegalArgumentException(
					"the transaction does not write the evidence row " + evidenceKey))
			.value();
		CompletableFuture<Either<Failure, CommitResult>> outcome = new CompletableFuture<>();
		new Resolution(transaction, evidenceKey, value, maxAttempts, outcome).attempt(0, false);
		return outcome;
	}

	private static void requireConditionOnWrittenRow(Transaction transaction) {
		boolean conditional = transaction.conditions()
			.exists((condition) -> transaction.writes().exists((write) -> write.key().equals(condition.key())));
		if (!conditional) {
			throw new IllegalArgumentException("the transaction must require the version of a row that it writes");
		}
	}

	private final class Resolution {

		private final Transaction transaction;

		private final String evidenceKey;

		private final String evidence;

		private final int maxAttempts;

		private final CompletableFuture<Either<Failure, CommitResult>> outcome;

		private Resolution(Transaction transaction, String evidenceKey, String evidence, int maxAttempts,
				CompletableFuture<Either<Failure, CommitResult>> outcome) {
			this.transaction = transaction;
			this.evidenceKey = evidenceKey;
			this.evidence = evidence;
			this.maxAttempts = maxAttempts;
			this.outcome = outcome;
		}

		private void attempt(int failures, boolean unknownBefore) {
			Either<Failure, CommitResult> result = CommitResolver.this.table.commit(this.transaction);
			if (result.isLeft()) {
				retryOrGiveUp(failures + 1, unknownBefore || result.getLeft().code() == ErrorCode.STORE_UNKNOWN);
			}
			else if (unknownBefore && result.get() instanceof CommitResult.Conflict conflict) {
				resolveConflict(conflict, failures);
			}
			else {
				this.outcome.complete(result);
			}
		}

		private void retryOrGiveUp(int failures, boolean outcomeUnknown) {
			if (failures >= this.maxAttempts) {
				this.outcome.complete(Either.left(attemptsExhausted(outcomeUnknown)));
				return;
			}
			CommitResolver.this.timer.schedule(delay(failures), () -> attempt(failures, outcomeUnknown));
		}

		private Failure attemptsExhausted(boolean outcomeUnknown) {
			ErrorCode code = outcomeUnknown ? ErrorCode.STORE_UNKNOWN : ErrorCode.STORE_UNAVAILABLE;
			return code.with("no clear answer in " + this.maxAttempts + " attempts");
		}

		private void resolveConflict(CommitResult.Conflict conflict, int failures) {
			Either<Failure, Row> row = CurrentRow.read(CommitResolver.this.table, this.evidenceKey);
			if (row.isLeft()) {
				retryOrGiveUp(failures + 1, true);
				return;
			}
			boolean applied = row.get().value().equals(this.evidence);
			this.outcome.complete(Either.right(applied ? new CommitResult.Committed(Vector.of(row.get())) : conflict));
		}

		private Duration delay(int failures) {
			return CommitResolver.this.backoff.delay(failures - 1, CommitResolver.this.random);
		}

	}

}
