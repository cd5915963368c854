package org.crocuspost.rows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
import org.crocuspost.time.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Follows a table: reads the whole table, then its changes, and the whole table again if
 * the store has discarded changes that were not read yet. Not thread-safe.
 */
public final class RowWatch {

	/**
	 * Pause after a failed read. It prevents a flood of calls when the store returns
	 * after an outage.
	 */
	private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

	/**
	 * Pause before the table is read again after an unexpected error of the listener. The
	 * error probably occurs again, and reading a table is expensive.
	 */
	private static final Duration ERROR_PAUSE = Duration.ofSeconds(2);

	/**
	 * Time for which confirmed versions of the store are kept.
	 */
	private static final Duration CONFIRMATION_RETENTION = Duration.ofSeconds(10);

	/**
	 * Number of rows from which an answer may not contain all changes. The store returns
	 * at most 500 rows of a table; for changes its documentation names no limit.
	 */
	private static final int MAXIMUM_COMPLETE_ROWS = 500;

	/**
	 * Maximum age of a table that was never read, so that it is always too old.
	 */
	private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

	private final RowStore store;

	private final String table;

	private final Settings settings;

	private final RowWatchListener listener;

	private final Clock clock;

	private final Timer timer;

	private long version = -1;

	private long appliedVersion = -1;

	private @Nullable ClockReading confirmed;

	private final Deque<Confirmation> confirmations = new ArrayDeque<>();

	private boolean failing;

	private boolean closed;

	/**
	 * Creates a watch. It reads nothing before {@link #start()}.
	 * @param store the store
	 * @param table the table to follow
	 * @param settings the timing of the calls
	 * @param listener receives the rows
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public RowWatch(RowStore store, String table, Settings settings, RowWatchListener listener, Clock clock,
			Timer timer) {
		this.store = store;
		this.table = table;
		this.settings = settings;
		this.listener = listener;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Starts reading the table.
	 */
	public void start() {
		readTable();
	}

	/**
	 * Ends the watch. The answer to an outstanding call is ignored.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Returns whether the whole table has been read at least once.
	 * @return true if it has been read
	 */
	public boolean hasReadTable() {
		return this.confirmed != null;
	}

	/**
	 * Returns the maximum age of the rows that the listener has received.
	 * @return the time since the store last confirmed that they were current, or one day
	 * if it never has
	 */
	public Duration age() {
		return (this.confirmed != null) ? this.confirmed.age(this.clock) : UNKNOWN_AGE;
	}

	/**
	 * Returns the maximum time since a version was the newest of the store. Whatever was
	 * written to the store before that time has this version or an earlier one.
	 * @param storeVersion a version of the store
	 * @return the time, or one day if it is unknown
	 */
	public Duration ageOf(long storeVersion) {
		for (Iterator<Confirmation> newestFirst = this.confirmations.descendingIterator(); newestFirst.hasNext();) {
			Confirmation confirmation = newestFirst.next();
			if (confirmation.version() <= storeVersion) {
				return confirmation.moment().age(this.clock);
			}
		}
		return UNKNOWN_AGE;
	}

	/**
	 * Returns the version of the store that the received rows stand for. While the table
	 * is read again, it is that of the former rows.
	 * @return the version, or -1 if the listener has not received the table yet
	 */
	public long version() {
		return this.appliedVersion;
	}

	private void readTable() {
		if (!this.closed) {
			new TableRead().read();
		}
	}

	private void readChanges() {
		if (this.closed) {
			return;
		}
		ClockReading asked = ClockReading.of(this.clock);
		// After a failure the received rows may be out of date, so calls do not wait for
		// a change until one succeeds: its answer confirms the rows immediately.
		Duration maximumWait = this.failing ? Duration.ZERO : this.settings.maximumWait();
		this.store.changes(this.table, this.version, maximumWait, (answer) -> {
			if (this.closed) {
				return;
			}
			if (answer.isLeft()) {
				failed(answer.getLeft(), this::readChanges);
				return;
			}
			RowChanges changes = answer.get();
			if (changes.historyLost()) {
				EventLog.info(RowEvent.ROW_HISTORY_LOST, Field.of("table", this.table),
						Field.of("knownVersion", this.version));
				readTable();
				return;
			}
			this.version = Math.max(this.version, changes.storeVersion());
			succeeded();
			if (apply(() -> passOn(changes.rows()))) {
				if (changes.rows().size() < MAXIMUM_COMPLETE_ROWS) {
					confirm(changes.rows().isEmpty() ? endOfWait(asked, maximumWait) : asked);
				}
				this.timer.schedule(this.settings.pause(), this::readChanges);
			}
		});
	}

	private void passOn(List<StoredRow> changedRows) {
		if (!changedRows.isEmpty()) {
			this.listener.rowsChanged(changedRows);
		}
	}

	/**
	 * Passes rows to the listener. After an unexpected error, which must not end the
	 * watch, the whole table is read again.
	 * @param delivery calls the listener
	 * @return whether the rows were applied
	 */
	private boolean apply(Runnable delivery) {
		try {
			delivery.run();
			this.appliedVersion = this.version;
			return true;
		}
		catch (RuntimeException | StackOverflowError ex) {
			EventLog.error(ex, RowEvent.ROWS_NOT_APPLIED, Field.of("table", this.table),
					Field.of("version", this.version));
			this.listener.readFailed("the rows were not applied");
			this.timer.schedule(ERROR_PAUSE, this::readTable);
			return false;
		}
	}

	/**
	 * Returns the time as of which an answer without changes confirms the received rows.
	 * The store last checks for changes at the end of its wait.
	 * @param asked the time of the call
	 * @param maximumWait how long the store waited for a change
	 * @return the time
	 */
	private ClockReading endOfWait(ClockReading asked, Duration maximumWait) {
		return asked.plus(maximumWait).earlier(ClockReading.of(this.clock));
	}

	/**
	 * Records that the listener has received all rows that were in the store at a moment.
	 * @param moment the moment
	 */
	private void confirm(ClockReading moment) {
		if (this.confirmed == null || moment.nanos() >= this.confirmed.nanos()) {
			this.confirmed = moment;
			addConfirmation(new Confirmation(this.version, moment));
		}
	}

	private void succeeded() {
		if (this.failing) {
			this.failing = false;
			EventLog.info(RowEvent.ROW_WATCH_REGAINED, Field.of("table", this.table),
					Field.of("version", this.version));
		}
	}

	private void addConfirmation(Confirmation next) {
		this.confirmations.addLast(next);
		while (this.confirmations.size() > 1
				&& this.confirmations.getFirst().moment().age(this.clock).compareTo(CONFIRMATION_RETENTION) > 0) {
			this.confirmations.removeFirst();
		}
	}

	private void failed(Failure failure, Runnable retry) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(RowEvent.ROW_WATCH_LOST, Field.of("table", this.table), Field.of("version", this.version),
					Field.of("reason", failure.message()));
		}
		this.listener.readFailed(failure.message());
		this.timer.schedule(RETRY_PAUSE, retry);
	}

	/**
	 * One read of the whole table.
	 */
	private final class TableRead implements TableReader.Listener {

		private final TableReader reader = new TableReader(RowWatch.this.store, RowWatch.this.table,
				RowWatch.this.clock, this);

		private final List<StoredRow> rows = new ArrayList<>();

		/**
		 * Time before which no request was sent whose rows have arrived.
		 */
		private @Nullable ClockReading firstAsked;

		private ClockReading asked = ClockReading.of(RowWatch.this.clock);

		private void read() {
			if (RowWatch.this.closed) {
				return;
			}
			this.asked = ClockReading.of(RowWatch.this.clock);
			this.reader.read();
		}

		@Override
		public void pageRead(List<StoredRow> page) {
			if (RowWatch.this.closed) {
				this.reader.close();
				return;
			}
			if (this.firstAsked == null) {
				this.firstAsked = this.asked;
			}
			this.rows.addAll(page);
			RowWatch.this.listener.pageRead(page.size());
		}

		@Override
		public void failed(Failure failure) {
			if (!RowWatch.this.closed) {
				RowWatch.this.failed(failure, this::read);
			}
		}

		@Override
		public void completed(long storeVersion) {
			if (RowWatch.this.closed) {
				return;
			}
			RowWatch.this.version = storeVersion;
			succeeded();
			this.rows.sort(Comparator.comparing(StoredRow::key));
			ClockReading moment = (this.firstAsked != null) ? this.firstAsked : this.asked;
			if (apply(() -> RowWatch.this.listener.tableRead(this.rows))) {
				confirm(moment);
				readChanges();
			}
		}

	}

	/**
	 * Answer that has shown which version of the store was the newest.
	 *
	 * @param version the version
	 * @param moment a moment at which the store had no later version
	 */
	private record Confirmation(long version, ClockReading moment) {
	}

	/**
	 * Timing of the calls.
	 *
	 * @param maximumWait how long the store waits for a change; bounds the age of the
	 * received rows
	 * @param pause time between an answer and the next call; bounds the rate of calls
	 */
	public record Settings(Duration maximumWait, Duration pause) {
	}

}
