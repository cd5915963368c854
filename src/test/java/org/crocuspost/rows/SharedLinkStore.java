package org.crocuspost.rows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.VirtualTime;

/**
 * Read-only store whose answers share a link evenly, like the answers over several
 * connections. An answer that has not arrived completely within the timeout is lost.
 */
final class SharedLinkStore implements RowStore {

	static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

	private static final Duration STEP = Duration.ofMillis(5);

	private static final int ROW_OVERHEAD = 100;

	private final VirtualTime time;

	private final int partitions;

	private final double bytesPerStep;

	private final List<StoredRow> rows;

	private final List<Transfer> transfers = new ArrayList<>();

	private final List<PageRequest> requests = new ArrayList<>();

	private final List<Integer> unavailablePartitions = new ArrayList<>();

	private long version;

	SharedLinkStore(VirtualTime time, int partitions, double megabitsPerSecond, List<StoredRow> rows) {
		this.time = time;
		this.partitions = partitions;
		this.bytesPerStep = megabitsPerSecond * 1e6 / 8 * STEP.toNanos() / 1e9;
		this.rows = rows.stream().sorted(Comparator.comparing(StoredRow::key)).toList();
		this.version = rows.size();
		time.repeat(STEP, this::transfer);
	}

	/**
	 * Returns the requests so far.
	 * @return the requests in their order
	 */
	List<PageRequest> requests() {
		return this.requests;
	}

	/**
	 * Returns the partitions whose requests fail.
	 * @return the partitions, which tests may change
	 */
	List<Integer> unavailablePartitions() {
		return this.unavailablePartitions;
	}

	private int partition(StoredRow row) {
		return Math.floorMod(row.key().hashCode(), this.partitions);
	}

	@Override
	public int partitions(String table) {
		return this.partitions;
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		this.requests.add(request);
		if (this.unavailablePartitions.contains(request.partition())) {
			this.time.schedule(STEP, () -> answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("test"))));
			return;
		}
		List<StoredRow> remaining = this.rows.stream()
			.filter((row) -> partition(row) == request.partition() && row.key().compareTo(request.fromKey()) >= 0)
			.toList();
		List<StoredRow> page = remaining.stream().limit(request.maximumRows()).toList();
		this.transfers.add(new Transfer(new RowPage(page, page.size() == remaining.size(), this.version++), answer,
				this.time.nanoTime() + CALL_TIMEOUT.toNanos()));
	}

	private void transfer() {
		List<Transfer> current = List.copyOf(this.transfers);
		for (Transfer transfer : current) {
			transfer.remainingBytes -= this.bytesPerStep / current.size();
			if (transfer.remainingBytes <= 0) {
				this.transfers.remove(transfer);
				transfer.answer.accept(Either.right(transfer.page));
			}
			else if (this.time.nanoTime() >= transfer.deadlineNanos) {
				this.transfers.remove(transfer);
				transfer.answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("no answer in time")));
			}
		}
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		throw new UnsupportedOperationException("the store is read-only");
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		throw new UnsupportedOperationException("only whole tables are read");
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		// No row changes.
	}

	private static final class Transfer {

		private final RowPage page;

		private final Consumer<Either<Failure, RowPage>> answer;

		private final long deadlineNanos;

		private double remainingBytes;

		private Transfer(RowPage page, Consumer<Either<Failure, RowPage>> answer, long deadlineNanos) {
			this.page = page;
			this.answer = answer;
			this.deadlineNanos = deadlineNanos;
			this.remainingBytes = page.rows()
				.stream()
				.mapToDouble((row) -> ROW_OVERHEAD + row.value().length() * 4 / 3.0)
				.sum();
		}

	}

}
