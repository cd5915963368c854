package org.crocuspost.rows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Follows a table: reads it whole, then its changes, and whole again when the store has
 * discarded the history. Not safe for use by several threads.
 */
public final class RowWatch {

	/**
	 * Pause after a failed read. An outage of the store must not turn into a flood of
	 * calls at its return.
	 */
	private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

	private final RowStore store;

	private final String table;

	private final Settings settings;

	private final RowWatchListener listener;

	private final Clock clock;

	private final Timer timer;

	private long version = -1;

	private long confirmedNanos;

	private boolean confirmed;

	private boolean failing;

	private boolean closed;

	/**
	 * Creates a watch. It starts with {@link #start()}.
	 * @param store the store
	 * @param table the table to follow
	 * @param settings the pace of the calls
	 * @param listener learns of the rows
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
	 * Begins to read.
	 */
	public void start() {
		readTable("", new ArrayList<>(), -1);
	}

	/**
	 * Ends the watch. An answer that is under way is ignored.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Says whether the table has been read at least once.
	 * @return true if it has
	 */
	public boolean hasReadTable() {
		return this.confirmed;
	}

	/**
	 * Returns how old the view of the table may be.
	 * @return the time since the store last confirmed the view, or a very long time if it
	 * never has
	 */
	public Duration age() {
		return this.confirmed ? Duration.ofNanos(this.clock.nanoTime() - this.confirmedNanos) : Duration.ofDays(1);
	}

	private void readTable(String fromKey, List<StoredRow> rows, long firstVersion) {
		if (this.closed) {
			return;
		}
		long asked = this.clock.nanoTime();
		this.store.scan(this.table, fromKey, (answer) -> {
			if (this.closed) {
				return;
			}
			if (answer.isLeft()) {
				failed(answer.getLeft(), () -> readTable(fromKey, rows, firstVersion));
				return;
			}
			RowPage page = answer.get();
			rows.addAll(page.rows());
			long version = (firstVersion < 0) ? page.storeVersion() : firstVersion;
			if (!page.complete()) {
				String last = rows.get(rows.size() - 1).key();
				readTable(last + RowStore.KEY_SUCCESSOR_SUFFIX, rows, version);
				return;
			}
			this.version = version;
			succeeded(asked);
			this.listener.tableRead(rows);
			readChanges();
		});
	}

	private void readChanges() {
		if (this.closed) {
			return;
		}
		long asked = this.clock.nanoTime();
		// After a failure the view is old, so the first answer must confirm it at once.
		Duration patience = this.failing ? Duration.ZERO : this.settings.patience();
		this.store.changes(this.table, this.version, patience, (answer) -> {
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
				readTable("", new ArrayList<>(), -1);
				return;
			}
			this.version = Math.max(this.version, changes.storeVersion());
			succeeded(changes.rows().isEmpty() ? endOfWait(asked, patience) : asked);
			if (!changes.rows().isEmpty()) {
				this.listener.rowsChanged(changes.rows());
			}
			this.timer.schedule(this.settings.pause(), this::readChanges);
		});
	}

	/**
	 * Returns until when an answer without changes confirms the view: the store looked at
	 * the end of its wait.
	 * @param asked when the call was made
	 * @param patience how long the store waited for a change
	 * @return monotonic time in nanoseconds
	 */
	private long endOfWait(long asked, Duration patience) {
		return Math.min(this.clock.nanoTime(), asked + patience.toNanos());
	}

	private void succeeded(long atNanos) {
		this.confirmed = true;
		this.confirmedNanos = Math.max(this.confirmedNanos, atNanos);
		if (this.failing) {
			this.failing = false;
			EventLog.info(RowEvent.ROW_WATCH_REGAINED, Field.of("table", this.table),
					Field.of("version", this.version));
		}
	}

	private void failed(Failure failure, Runnable retry) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(RowEvent.ROW_WATCH_LOST, Field.of("table", this.table), Field.of("version", this.version),
					Field.of("reason", failure.message()));
		}
		this.timer.schedule(RETRY_PAUSE, retry);
	}

	/**
	 * Pace of the calls.
	 *
	 * @param patience how long the store waits for a change; bounds the age of the view
	 * @param pause time between an answer and the next call; bounds the number of calls
	 */
	public record Settings(Duration patience, Duration pause) {
	}

}
