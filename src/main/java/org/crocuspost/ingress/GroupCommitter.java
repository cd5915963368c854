package org.crocuspost.ingress;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Writes the rows of callers' requests to one partition in groups. A write that finds no
 * transaction in flight is sent at once; the others wait and are sent together when that
 * transaction has ended. If the answer of a transaction is overdue or lost, the rows are
 * read until the outcome is known or the callers have been answered. Must be used on the
 * event loop only.
 *
 * <p>
 * A write whose outcome cannot be expected before its caller must be answered is rejected
 * before it is sent. It has had no effect then, so that the caller can retry; a
 * transaction that is executed after its callers were answered would also delay all
 * others.
 */
final class GroupCommitter {

	/**
	 * Maximum number of rows of a group. A transaction of the store is limited to 100.
	 */
	static final int MAXIMUM_ROWS = 40;

	/**
	 * Maximum length of the keys and values of a group, in characters. A longer row is
	 * written alone. A transaction of the store is limited to 1 MB.
	 */
	static final int MAXIMUM_LENGTH = 256 * 1024;

	/**
	 * Time after which the outcome of a transaction is read. The store normally answers
	 * within 10 ms.
	 */
	private static final Duration READ_AFTER = Duration.ofMillis(200);

	/**
	 * Pause between two reads for the same group.
	 */
	private static final Duration READ_INTERVAL = Duration.ofMillis(100);

	/**
	 * Age at which a transaction whose rows do not exist is considered lost, if reads are
	 * fast. The store rejects what it cannot execute within about a second.
	 */
	private static final Duration LOST_AFTER = Duration.ofMillis(500);

	/**
	 * A transaction is considered lost only if it takes at least this many times as long
	 * as a read. In a store that is slow as a whole, reads are slow too.
	 */
	private static final int LOST_AFTER_READS = 16;

	/**
	 * Maximum number of transactions in which one row is sent without learning whether it
	 * was written.
	 */
	private static final int MAXIMUM_UNRESOLVED_COPIES = 2;

	/**
	 * Minimum time for which the duration of the last transaction is taken as that of the
	 * next. After a longer transaction it is that transaction's duration: an entry whose
	 * writes take too long leaves the store to others for half of the time. Afterwards a
	 * transaction is sent to measure it again.
	 */
	private static final Duration EXPECTATION_VALIDITY = Duration.ofSeconds(1);

	/**
	 * Margin of the expected duration: the queue of the store may have grown since the
	 * last transaction. With 1.0, a third more callers of the replayed load were left
	 * without the outcome.
	 */
	private static final double EXPECTATION_MARGIN = 1.5;

	/**
	 * Time within which the store executes a transaction that it has taken.
	 */
	private static final Duration MAXIMUM_LATENESS = Duration.ofSeconds(12);

	private final RowStore store;

	private final RowStore outcomes;

	private final IngressMetrics metrics;

	private final Clock clock;

	private final Timer timer;

	private final Deque<PendingWrite> waiting = new ArrayDeque<>();

	private @Nullable Group inFlight;

	private boolean sending;

	private Duration lastDuration = Duration.ZERO;

	private long measuredNanos;

	private long answeredNanos = Long.MIN_VALUE;

	/**
	 * Creates a committer.
	 * @param store the store that executes the transactions
	 * @param outcomes the store from which outcomes are read; a circuit breaker would
	 * refuse these reads while a transaction is its probe
	 * @param metrics the metrics of requests
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	GroupCommitter(RowStore store, RowStore outcomes, IngressMetrics metrics, Clock clock, Timer timer) {
		this.store = store;
		this.outcomes = outcomes;
		this.metrics = metrics;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Writes a row.
	 * @param write the row to write
	 */
	void write(PendingWrite write) {
		this.waiting.add(write);
		sendNext();
		Duration expected = expectedWait();
		if (write.remaining(now()).compareTo(expected) < 0 && this.waiting.remove(write)) {
			reject(write, expected);
		}
	}

	/**
	 * Returns whether the store has answered since a given time.
	 * @param nanos the monotonic time
	 * @return true if a transaction or a read had a result since then
	 */
	boolean answeredSince(long nanos) {
		return this.answeredNanos >= nanos;
	}

	/**
	 * Records that the store has answered a call that another component made.
	 */
	void recordAnswer() {
		this.answeredNanos = now();
	}

	private long now() {
		return this.clock.nanoTime();
	}

	private Duration expectedDuration() {
		long validNanos = Math.max(EXPECTATION_VALIDITY.toNanos(), this.lastDuration.toNanos());
		boolean valid = now() - this.measuredNanos <= validNanos;
		Duration expected = valid ? this.lastDuration : Duration.ZERO;
		Group group = this.inFlight;
		Duration longest = (group != null && group.age().compareTo(expected) > 0) ? group.age() : expected;
		return Duration.ofNanos((long) (longest.toNanos() * EXPECTATION_MARGIN));
	}

	// The rest of the transaction in flight and the one after it.
	private Duration expectedWait() {
		Duration expected = expectedDuration();
		Group group = this.inFlight;
		return (group != null) ? expected.minus(group.age()).plus(expected) : expected;
	}

	private void reject(PendingWrite write, Duration expected) {
		EventLog.info(IngressEvent.WRITE_REJECTED, Field.of("key", write.key()),
				Field.of("remaining", write.remaining(now())), Field.of("expected", expected),
				Field.of("lastTransaction", this.lastDuration),
				Field.of("age", Duration.ofNanos(now() - this.measuredNanos)));
		this.metrics.recordWriteEnd(IngressMetrics.WriteEnd.REJECTED);
		write.fail(ErrorCode.STORE_UNAVAILABLE.with("a write takes longer than the caller waits"));
	}

	private void sendNext() {
		// The store may answer before the call returns.
		if (this.sending) {
			return;
		}
		this.sending = true;
		try {
			while (this.inFlight == null && !this.waiting.isEmpty()) {
				List<PendingWrite> writes = takeGroup();
				if (!writes.isEmpty()) {
					new Group(writes).send();
				}
			}
		}
		finally {
			this.sending = false;
		}
	}

	private List<PendingWrite> takeGroup() {
		List<PendingWrite> group = new ArrayList<>();
		List<PendingWrite> rejected = new ArrayList<>();
		Set<String> keys = new HashSet<>();
		Duration expected = expectedDuration();
		int length = 0;
		for (Iterator<PendingWrite> iterator = this.waiting.iterator(); iterator.hasNext();) {
			PendingWrite write = iterator.next();
			if (!write.open()) {
				iterator.remove();
				continue;
			}
			if (write.remaining(now()).compareTo(expected) < 0) {
				iterator.remove();
				if (!write.mayTakeEffect()) {
					rejected.add(write);
				}
				continue;
			}
			boolean fits = group.isEmpty()
					|| (group.size() < MAXIMUM_ROWS && length + write.length() <= MAXIMUM_LENGTH);
			if (!fits) {
				break;
			}
			// A second write of the same row waits for the outcome of the first.
			if (keys.add(write.key())) {
				iterator.remove();
				group.add(write);
				length += write.length();
			}
		}
		// An answer may lead to another write.
		rejected.forEach((write) -> reject(write, expected));
		return group;
	}

	private void recordDuration(Duration duration) {
		this.lastDuration = duration;
		this.measuredNanos = now();
	}

	/**
	 * Rows that are sent in one transaction.
	 */
	private final class Group {

		private final List<PendingWrite> writes;

		private final long sentNanos = now();

		private boolean unknown;

		private boolean definite;

		private boolean repeated;

		private boolean reading;

		private Cancellable nextRead = () -> {
		};

		private Group(List<PendingWrite> writes) {
			this.writes = writes;
		}

		private Duration age() {
			return Duration.ofNanos(now() - this.sentNanos);
		}

		private void send() {
			GroupCommitter.this.inFlight = this;
			List<RowTransaction.Condition> conditions = new ArrayList<>();
			List<RowTransaction.Write> rows = new ArrayList<>();
			for (PendingWrite write : this.writes) {
				write.copySent();
				rows.add(write.row());
				write.requiredVersion()
					.ifPresent((version) -> conditions
						.add(new RowTransaction.Condition(Tables.SUBMISSIONS, write.key(), version)));
				GroupCommitter.this.metrics.recordWriteWait(write.waited(now()));
			}
			GroupCommitter.this.metrics.recordGroup(this.writes.size());
			GroupCommitter.this.store.commit(RowTransaction.of(conditions, rows), this::handleOutcome);
			if (!this.definite && !this.reading) {
				scheduleRead(READ_AFTER);
			}
		}

		private void handleOutcome(Either<Failure, RowCommit> outcome) {
			if (outcome.isLeft() && outcome.getLeft().verdict() != Verdict.NOT_RUN) {
				this.unknown = true;
				recordDuration(age());
				EventLog.info(IngressEvent.GROUP_UNRESOLVED, Field.of("rows", this.writes.size()),
						Field.of("age", age()), Field.of("reason", outcome.getLeft().message()));
				readOutcome();
				return;
			}
			this.definite = true;
			if (outcome.isLeft()) {
				handleRefusal(outcome.getLeft());
			}
			else {
				recordAnswer();
				recordDuration(age());
				if (outcome.get().applied()) {
					this.writes.forEach((write) -> write.store(write.written(outcome.get().version())));
				}
				else {
					handleFailedCondition(outcome.get());
				}
			}
			release();
		}

		private void handleRefusal(Failure failure) {
			for (PendingWrite write : this.writes) {
				write.copyRefused();
				if (!write.mayTakeEffect()) {
					write.fail(failure);
				}
			}
			keepReading();
		}

		// Ends the writes whose rows have another version than required. The transaction
		// had no effect, so the others are sent again.
		private void handleFailedCondition(RowCommit commit) {
			Map<String, StoredRow> current = commit.current()
				.stream()
				.collect(Collectors.toMap(StoredRow::key, Function.identity(), (first, second) -> first));
			List<PendingWrite> others = new ArrayList<>();
			for (PendingWrite write : this.writes) {
				write.copyRefused();
				StoredRow row = current.get(write.key());
				if (row != null && write.conditionFails(row)) {
					write.store(row);
				}
				else {
					others.add(write);
				}
			}
			if (others.size() == this.writes.size()) {
				others.stream()
					.filter((write) -> !write.mayTakeEffect())
					.forEach(
							(write) -> write.fail(ErrorCode.STORE_UNAVAILABLE.with("the store does not show the row")));
				keepReading();
				return;
			}
			if (!others.isEmpty()) {
				EventLog.info(IngressEvent.GROUP_SPLIT, Field.of("rows", this.writes.size()),
						Field.of("repeated", others.size()));
			}
			sendAgain(others);
		}

		private void sendAgain(List<PendingWrite> others) {
			for (int index = others.size() - 1; index >= 0; index--) {
				GroupCommitter.this.waiting.addFirst(others.get(index));
			}
		}

		private void release() {
			if (GroupCommitter.this.inFlight == this) {
				GroupCommitter.this.inFlight = null;
				sendNext();
			}
		}

		private void scheduleRead(Duration delay) {
			this.nextRead.cancel();
			this.nextRead = GroupCommitter.this.timer.schedule(delay, this::readOutcome);
		}

		private void readOutcome() {
			if (this.reading) {
				return;
			}
			this.nextRead.cancel();
			List<PendingWrite> open = this.writes.stream().filter(PendingWrite::open).toList();
			if (open.isEmpty() && (!occupies() || age().compareTo(MAXIMUM_LATENESS) > 0)) {
				release();
				return;
			}
			// All rows of a transaction are written at once: while one is missing, the
			// transaction has not been executed.
			PendingWrite first = open.isEmpty() ? this.writes.get(0) : open.get(0);
			long started = now();
			this.reading = true;
			GroupCommitter.this.outcomes.read(Tables.SUBMISSIONS, first.key(), (row) -> {
				this.reading = false;
				if (row.isLeft()) {
					handleFailedRead();
				}
				else if (first.settledBy(row.get())) {
					recordAnswer();
					handleFound(first, row.get());
				}
				else {
					recordAnswer();
					handleMissing(Duration.ofNanos(now() - started));
				}
			});
		}

		private boolean occupies() {
			return GroupCommitter.this.inFlight == this;
		}

		private void handleFailedRead() {
			if (this.unknown) {
				release();
			}
			keepReading();
		}

		private void handleFound(PendingWrite write, StoredRow row) {
			if (write.open()) {
				EventLog.info(IngressEvent.WRITE_FOUND, Field.of("key", write.key()), Field.of("age", age()),
						Field.of("copies", write.copies()));
				GroupCommitter.this.metrics.recordWriteEnd(IngressMetrics.WriteEnd.FOUND);
				write.store(row);
			}
			if (occupies() && !this.definite) {
				recordDuration(age());
			}
			if (this.writes.stream().anyMatch(PendingWrite::open)) {
				readOutcome();
			}
			else {
				release();
			}
		}

		private void handleMissing(Duration readDuration) {
			boolean slowStore = age().compareTo(readDuration.multipliedBy(LOST_AFTER_READS)) < 0;
			boolean lost = !slowStore && (this.unknown || age().compareTo(LOST_AFTER) > 0);
			if (lost && !this.repeated && !this.definite) {
				this.repeated = true;
				List<PendingWrite> again = this.writes.stream()
					.filter((write) -> write.open() && write.unresolvedCopies() < MAXIMUM_UNRESOLVED_COPIES)
					.toList();
				EventLog.info(IngressEvent.WRITES_REPEATED, Field.of("rows", again.size()), Field.of("age", age()),
						Field.of("readDuration", readDuration), Field.of("unknown", this.unknown));
				sendAgain(again);
				release();
			}
			keepReading();
		}

		private void keepReading() {
			boolean needed = (occupies() && !this.definite) || this.writes.stream().anyMatch(PendingWrite::open);
			if (!this.reading && needed) {
				scheduleRead(READ_INTERVAL);
			}
		}

	}

}
