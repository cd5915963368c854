package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
import org.crocuspost.time.Timer;

/**
 * Writes the leader's transactions one at a time. Each transaction requires the current
 * version of the leader's row and writes that row, so a former leader cannot write.
 *
 * <p>
 * A transaction without an answer may still be applied later, as long as its condition
 * holds. It is sent again until the answer is definite: once either copy is applied, the
 * condition of the other fails, and the content of the row identifies the transaction
 * that was applied.
 *
 * <p>
 * The leader's row also tells until when this leader may extend leases
 * ({@link ExtensionDeadlines}). That time rests on the last answer of the store before
 * the transaction, and counts once the transaction is applied.
 */
final class FencedWriter {

	private final RowStore store;

	private final Clock clock;

	private final Timer timer;

	private final Runnable onLeadershipLost;

	private LeaderRecord record;

	private long sequence;

	private long version;

	private ClockReading confirmed;

	private final OptionalLong formerMillis;

	private Optional<StoreClockReading> storeClock;

	private Optional<ClockReading> extensionBasis = Optional.empty();

	private boolean busy;

	private boolean delayed;

	private boolean closed;

	/**
	 * Creates a writer for a leader that has just written its first row.
	 * @param store the store
	 * @param record the content of that row
	 * @param version the version of that row
	 * @param storeClock the store's clock in the answer to that transaction; empty if the
	 * store does not tell its time
	 * @param formerMillis when earlier leaders stop extending leases, on the store's
	 * clock; empty if it is not known
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 * @param onLeadershipLost runs when another process has become the leader
	 */
	FencedWriter(RowStore store, LeaderRecord record, long version, Optional<StoreClockReading> storeClock,
			OptionalLong formerMillis, Clock clock, Timer timer, Runnable onLeadershipLost) {
		this.store = store;
		this.record = record;
		this.sequence = record.sequence();
		this.version = version;
		this.storeClock = storeClock;
		this.formerMillis = formerMillis;
		this.clock = clock;
		this.timer = timer;
		this.onLeadershipLost = onLeadershipLost;
		this.confirmed = ClockReading.of(clock);
	}

	/**
	 * Sends a transaction that only writes the leader's row. Must not be called while
	 * another transaction is in progress.
	 * @param nextName the name to write to the leader's row; empty to resign
	 * @param onApplied runs once the transaction has been applied
	 */
	void writeLeaderRow(String nextName, Runnable onApplied) {
		// Such a transaction cannot be reduced, so a rejected one is sent again as well.
		write(nextName, List.of(), List.of(), onApplied,
				(failure) -> this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> {
					if (!this.closed && !this.busy) {
						writeLeaderRow(nextName, onApplied);
					}
				}));
	}

	/**
	 * Sends a transaction. Must not be called while another transaction is in progress.
	 * @param nextName the name to write to the leader's row; empty to resign
	 * @param writes the rows to write besides the leader's row
	 * @param removals the rows to remove
	 * @param onApplied runs once the transaction has been applied
	 * @param onRejected runs if the store rejects the transaction for what it contains;
	 * it had no effect and is not sent again
	 */
	void write(String nextName, List<RowTransaction.Write> writes, List<RowTransaction.Removal> removals,
			Runnable onApplied, Consumer<Failure> onRejected) {
		this.busy = true;
		// A number is not used again after a rejection: the content of the leader's row
		// identifies one transaction.
		LeaderRecord next = new LeaderRecord(this.record.epoch(), ++this.sequence, nextName, deadlines());
		List<RowTransaction.Write> allWrites = new ArrayList<>(writes);
		allWrites.add(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, next.write()));
		RowTransaction transaction = new RowTransaction(
				List.of(new RowTransaction.Condition(Tables.LEDGER, Tables.LEADER_KEY, this.version)), allWrites,
				removals);
		Optional<ClockReading> basis = this.storeClock.map(StoreClockReading::sent);
		send(transaction, next, basis, onApplied, onRejected);
	}

	private Optional<ExtensionDeadlines> deadlines() {
		if (this.storeClock.isEmpty() || this.formerMillis.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new ExtensionDeadlines(
				this.storeClock.get().expiryMillis(LeadershipTimings.LEASE_EXTENSION_WITHOUT_STORE),
				this.formerMillis.getAsLong()));
	}

	private void send(RowTransaction transaction, LeaderRecord next, Optional<ClockReading> basis, Runnable onApplied,
			Consumer<Failure> onRejected) {
		ClockReading sent = ClockReading.of(this.clock);
		this.store.commit(transaction, (answer) -> {
			if (this.closed) {
				return;
			}
			answer.peek((commit) -> this.storeClock = StoreClockReading.of(commit, sent, this.clock));
			if (answer.isLeft() && answer.getLeft().code() == ErrorCode.STORE_REJECTED) {
				this.busy = false;
				onRejected.accept(answer.getLeft());
				return;
			}
			if (answer.isLeft()) {
				retryLater(answer, () -> send(transaction, next, basis, onApplied, onRejected));
				return;
			}
			RowCommit commit = answer.get();
			if (commit.applied()) {
				handleApplied(next, commit.version(), sent, basis, onApplied);
				return;
			}
			StoredRow current = commit.current()
				.stream()
				.filter((row) -> row.key().equals(Tables.LEADER_KEY))
				.findFirst()
				.orElse(new StoredRow(Tables.LEADER_KEY, StoredRow.ABSENT, ""));
			if (current.value().equals(next.write())) {
				handleApplied(next, current.version(), sent, basis, onApplied);
			}
			else {
				this.closed = true;
				this.onLeadershipLost.run();
			}
		});
	}

	private void handleApplied(LeaderRecord next, long newVersion, ClockReading sent, Optional<ClockReading> basis,
			Runnable onApplied) {
		this.record = next;
		this.version = newVersion;
		this.confirmed = sent;
		this.extensionBasis = Optional.of(basis.orElse(sent));
		this.busy = false;
		if (this.delayed) {
			this.delayed = false;
			EventLog.info(LeadEvent.RECORD_REGAINED, Field.of("epoch", next.epoch()));
		}
		onApplied.run();
	}

	private void retryLater(Either<Failure, RowCommit> answer, Runnable retry) {
		if (!this.delayed) {
			this.delayed = true;
			EventLog.warn(LeadEvent.RECORD_DELAYED, Field.of("epoch", this.record.epoch()),
					Field.of("reason", answer.getLeft().message()));
		}
		this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> {
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
	 * Returns whether the store currently confirms the leader.
	 * @return false if a transaction had to be retried and has not been applied yet
	 */
	boolean confirmed() {
		return !this.delayed;
	}

	/**
	 * Returns the time for which another process may have been the leader.
	 * @return the time since the last applied transaction was sent
	 */
	Duration confirmationAge() {
		return this.confirmed.age(this.clock);
	}

	/**
	 * Returns the age of the moment on which the deadline for extending leases in the
	 * leader's row rests.
	 * @return the age; empty until the first transaction of this writer is applied
	 */
	Optional<Duration> extensionBasisAge() {
		return this.extensionBasis.map((basis) -> basis.age(this.clock));
	}

	/**
	 * Returns whether this leader may extend leases: the store has confirmed it recently
	 * enough.
	 * @return false until the first transaction of this writer is applied
	 */
	boolean mayExtendLeases() {
		return extensionBasisAge().filter((age) -> age.compareTo(LeadershipTimings.LEASE_EXTENSION_WITHOUT_STORE) < 0)
			.isPresent();
	}

	/**
	 * Returns the version of the last transaction that was applied.
	 * @return the version of the store after that transaction
	 */
	long version() {
		return this.version;
	}

}
