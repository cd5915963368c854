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
 * Commits transactions and finds out what became of those whose answer was lost.
 *
 * <p>
 * Reading the rows is not enough. Example: a commit that requires version 4 of a row gets
 * no answer; a read still shows version 4; the caller concludes that nothing was written
 * and does something else; then the write, which was only late, takes effect. Therefore
 * the same transaction is sent again until there is a clear answer. It requires the
 * version of a row that it also writes, so that of all its copies at most one takes
 * effect. If a copy meets a conflict, then either an earlier copy took effect, which its
 * evidence row shows, or another writer came first and no copy can take effect any more.
 *
 * <p>
 * The evidence row must not be overwritten by others before the resolution ends, and a
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
	 * @param timer runs further attempts; may block for the length of a call
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
	 * Commits a transaction, again and again until the outcome is known.
	 * @param transaction requires the version of a row that it also writes
	 * @param evidenceKey a row whose value, as the transaction writes it, no other
	 * transaction writes
	 * @param attempts how often the transaction is sent at most
	 * @return the outcome; committed rows hold only the evidence row if the answer was
	 * lost; {@code STORE_UNKNOWN} if the attempts did not suffice
	 */
	public CompletionStage<Either<Failure, CommitResult>> commit(Transaction transaction, String evidenceKey,
			int attempts) {
		requireFence(transaction);
		String value = transaction.writes()
			.find((write) -> write.key().equals(evidenceKey) && !write.deletion())
			.getOrElseThrow(() -> new IllegalArgumentException("the transaction does not write " + evidenceKey))
			.value();
		CompletableFuture<Either<Failure, CommitResult>> outcome = new CompletableFuture<>();
		new Resolution(transaction, evidenceKey, value, attempts, outcome).attempt(0, false);
		return outcome;
	}

	private static void requireFence(Transaction transaction) {
		boolean fenced = transaction.conditions()
			.exists((condition) -> transaction.writes().exists((write) -> write.key().equals(condition.key())));
		if (!fenced) {
			throw new IllegalArgumentException("the transaction requires no version of a row that it writes");
		}
	}

	private final class Resolution {

		private final Transaction transaction;

		private final String evidenceKey;

		private final String evidence;

		private final int attempts;

		private final CompletableFuture<Either<Failure, CommitResult>> outcome;

		private Resolution(Transaction transaction, String evidenceKey, String evidence, int attempts,
				CompletableFuture<Either<Failure, CommitResult>> outcome) {
			this.transaction = transaction;
			this.evidenceKey = evidenceKey;
			this.evidence = evidence;
			this.attempts = attempts;
			this.outcome = outcome;
		}

		private void attempt(int failures, boolean unknownBefore) {
			Either<Failure, CommitResult> result = CommitResolver.this.table.commit(this.transaction);
			if (result.isLeft()) {
				failed(failures + 1, unknownBefore || result.getLeft().code() == ErrorCode.STORE_UNKNOWN);
			}
			else if (unknownBefore && result.get() instanceof CommitResult.Conflict conflict) {
				judge(conflict, failures);
			}
			else {
				this.outcome.complete(result);
			}
		}

		private void failed(int failures, boolean unknown) {
			if (failures >= this.attempts) {
				this.outcome.complete(Either.left(exhausted(unknown)));
				return;
			}
			CommitResolver.this.timer.schedule(delay(failures), () -> attempt(failures, unknown));
		}

		private Failure exhausted(boolean unknown) {
			ErrorCode code = unknown ? ErrorCode.STORE_UNKNOWN : ErrorCode.STORE_UNAVAILABLE;
			return code.with("no clear answer in " + this.attempts + " attempts");
		}

		private void judge(CommitResult.Conflict conflict, int failures) {
			Either<Failure, Row> row = CurrentRow.read(CommitResolver.this.table, this.evidenceKey);
			if (row.isLeft()) {
				failed(failures + 1, true);
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
