package org.crocuspost.rows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Reads a whole table in rounds of concurrent requests, at most one for each partition.
 * Every partition is read page by page on its own: rows that have arrived are not
 * requested again when the request for another partition fails. Not thread-safe.
 */
public final class TableReader {

	private final RowStore store;

	private final String table;

	private final Clock clock;

	private final Listener listener;

	private final ScanSize size;

	/**
	 * The partitions with further rows.
	 */
	private final List<Partition> open;

	private long storeVersion = Long.MAX_VALUE;

	private boolean closed;

	/**
	 * Creates a reader. It reads nothing before {@link #read()}.
	 * @param store the store
	 * @param table the table to read
	 * @param clock the clock of the process
	 * @param listener receives the rows
	 */
	public TableReader(RowStore store, String table, Clock clock, Listener listener) {
		this.store = store;
		this.table = table;
		this.clock = clock;
		this.listener = listener;
		int partitions = store.partitions(table);
		this.size = new ScanSize(partitions * RowStore.MAXIMUM_PAGE_ROWS);
		this.open = new ArrayList<>(IntStream.range(0, partitions).mapToObj(Partition::new).toList());
	}

	/**
	 * Reads the rest of the table. After a failure, it must be called again to continue.
	 */
	public void read() {
		List<Partition> requested = List.copyOf(this.open.subList(0, Math.min(this.open.size(), this.size.rows())));
		int rows = Math.min(RowStore.MAXIMUM_PAGE_ROWS, this.size.rows() / requested.size());
		Round round = new Round(requested.size());
		for (Partition partition : requested) {
			PageRequest request = new PageRequest(this.table, partition.number, partition.fromKey, rows);
			this.store.scan(request, (answer) -> round.received(partition, answer));
		}
	}

	/**
	 * Ends reading. Outstanding answers are ignored.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Receives the rows of a table.
	 */
	public interface Listener {

		/**
		 * Receives a page. The pages of a partition arrive in the order of their keys.
		 * @param rows the rows in the order of their keys
		 */
		void pageRead(List<StoredRow> rows);

		/**
		 * Called when a request has failed and no other is outstanding.
		 * @param failure why it failed
		 */
		void failed(Failure failure);

		/**
		 * Called when the whole table has been read.
		 * @param storeVersion the version of the store from which on changes may be
		 * missing in the rows
		 */
		void completed(long storeVersion);

	}

	private static final class Partition {

		private final int number;

		private String fromKey = "";

		private Partition(int number) {
			this.number = number;
		}

	}

	/**
	 * Requests that are sent at the same time.
	 */
	private final class Round {

		private final long startedNanos = TableReader.this.clock.nanoTime();

		private int outstanding;

		private @Nullable Failure failure;

		private Round(int requests) {
			this.outstanding = requests;
		}

		private void received(Partition partition, Either<Failure, RowPage> answer) {
			if (TableReader.this.closed) {
				return;
			}
			this.outstanding--;
			answer.peek((page) -> apply(partition, page)).peekLeft((reason) -> {
				if (this.failure == null) {
					this.failure = reason;
				}
			});
			if (this.outstanding == 0) {
				end();
			}
		}

		private void apply(Partition partition, RowPage page) {
			// Changes are followed from the oldest page on.
			TableReader.this.storeVersion = Math.min(TableReader.this.storeVersion, page.storeVersion());
			if (page.complete()) {
				TableReader.this.open.remove(partition);
			}
			else {
				String last = page.rows().get(page.rows().size() - 1).key();
				partition.fromKey = last + RowStore.KEY_SUCCESSOR_SUFFIX;
			}
			TableReader.this.listener.pageRead(page.rows());
		}

		private void end() {
			if (TableReader.this.closed) {
				return;
			}
			if (this.failure != null) {
				TableReader.this.size.failed();
				TableReader.this.listener.failed(this.failure);
				return;
			}
			TableReader.this.size.answered(Duration.ofNanos(TableReader.this.clock.nanoTime() - this.startedNanos));
			if (TableReader.this.open.isEmpty()) {
				TableReader.this.listener.completed(TableReader.this.storeVersion);
			}
			else {
				read();
			}
		}

	}

}
