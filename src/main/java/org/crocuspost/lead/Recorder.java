package org.crocuspost.lead;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Writes the leader's transactions, one after the other. Each requires the version of the
 * leader's row and writes that row, so a former leader cannot write.
 *
 * <p>
 * A transaction without an answer may still be applied later, as long as its condition
 * holds. It is sent again until the answer is definite: once either copy is applied, the
 * condition of the other fails, and the row's content tells which one it was.
 */
final class Recorder {

	private final RowStore store;

	private final Clock clock;

	private final Timer timer;

	private final Runnable deposed;

	private LeaderRecord record;

	private long version;

	private long confirmedNanos;

	private boolean busy;

	private boolean delayed;

	private boolean closed;

	Recorder(RowStore store, LeaderRecord record, long version, Clock clock, Timer timer, Runnable deposed) {
		this.store = store;
		this.record = record;
		this.version = version;
		this.clock = clock;
		this.timer = timer;
		this.deposed = deposed;
		this.confirmedNanos = clock.nanoTime();
	}

	/**
	 * Sends a transaction. Not to be called while another is under way.
	 * @param nextName the name in the leader's row; empty to resign
	 * @param writes the rows to write besides the leader's row
	 * @param removals the rows to remove
	 * @param done runs once the transaction is applied
	 */
	void write(String nextName, List<RowTransaction.Write> writes, List<RowTransaction.Removal> removals,
			Runnable done) {
		this.busy = true;
		LeaderRecord next = new LeaderRecord(this.record.epoch(), this.record.sequence() + 1, nextName);
		List<RowTransaction.Write> all = new ArrayList<>(writes);
		all.add(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, next.write()));
		send(new RowTransaction(List.of(new RowTransaction.Condition(Tables.LEDGER, Tables.LEADER_KEY, this.version)), all,
				removals), next, done);
	}

	private void send(RowTransaction transaction, LeaderRecord next, Runnable done) {
		long sent = this.clock.nanoTime();
		this.store.commit(transaction, (answer) -> {
			if (this.closed) {
				return;
			}
			if (answer.isLeft()) {
				delay(answer, () -> send(transaction, next, done));
				return;
			}
			RowCommit commit = answer.get();
			if (commit.applied()) {
				applied(next, commit.version(), sent, done);
				return;
			}
			StoredRow current = commit.current()
				.stream()
				.filter((row) -> row.key().equals(Tables.LEADER_KEY))
				.findFirst()
				.orElse(new StoredRow(Tables.LEADER_KEY, StoredRow.ABSENT, ""));
			if (current.value().equals(next.write())) {
				applied(next, current.version(), sent, done);
			}
			else {
				this.closed = true;
				this.deposed.run();
			}
		});
	}

	private void applied(LeaderRecord next, long newVersion, long sentNanos, Runnable done) {
		this.record = next;
		this.version = newVersion;
		this.confirmedNanos = sentNanos;
		this.busy = false;
		if (this.delayed) {
			this.delayed = false;
			EventLog.info(LeadEvent.RECORD_REGAINED, Field.of("epoch", next.epoch()));
		}
		done.run();
	}

	private void delay(Either<Failure, RowCommit> answer, Runnable retry) {
		if (!this.delayed) {
			this.delayed = true;
			EventLog.warn(LeadEvent.RECORD_DELAYED, Field.of("epoch", this.record.epoch()),
					Field.of("reason", answer.getLeft().message()));
		}
		this.timer.schedule(LeadershipTimings.RETRY_PAUSE, () -> {
			if (!this.closed) {
				retry.run();
			}
		});
	}

	void close() {
		this.closed = true;
	}

	boolean busy() {
		return this.busy;
	}

	/**
	 * Says whether the store confirms the leader at present.
	 * @return false if a transaction had to be repeated and is not applied yet
	 */
	boolean confirmed() {
		return !this.delayed;
	}

	long confirmedNanos() {
		return this.confirmedNanos;
	}

	/**
	 * Returns the version of the last transaction that is applied.
	 * @return the version of the store
	 */
	long version() {
		return this.version;
	}

}
