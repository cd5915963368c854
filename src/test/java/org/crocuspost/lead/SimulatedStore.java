package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;

/**
 * The platform's store on virtual time, which returns tables in pages, lets calls wait
 * for changes and may lose its history.
 */
final class SimulatedStore {

	private static final Duration LATENCY = Duration.ofMillis(4);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * Time after which the store carries out a call that it has delayed.
	 */
	private static final Duration DELAY = Duration.ofSeconds(3);

	/**
	 * Bytes of a row in an answer besides its encoded value.
	 */
	private static final int ROW_OVERHEAD = 100;

	private final VirtualTime time;

	private final MemoryRowStore rows = new MemoryRowStore();

	private final List<Waiter> waiters = new ArrayList<>();

	private long forgottenVersion;

	SimulatedStore(VirtualTime time) {
		this.time = time;
		this.rows.setClock(() -> time.nanoTime() / 1_000_000);
	}

	MemoryRowStore rows() {
		return this.rows;
	}

	void write(String table, String key, String value) {
		commit(RowTransaction.of(List.of(), List.of(new RowTransaction.Write(table, key, value))), (answer) -> {
		});
	}

	/**
	 * Discards the history, so that all who follow a table have to read it again.
	 */
	void forget() {
		this.rows.scan(PageRequest.first(Tables.LEDGER, 0),
				(answer) -> answer.peek((page) -> this.forgottenVersion = page.storeVersion()));
		write(Tables.MODEL, "unused", String.valueOf(this.forgottenVersion));
		List.copyOf(this.waiters).forEach(Waiter::answer);
	}

	private void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		this.rows.commit(transaction, answer);
		List.copyOf(this.waiters)
			.stream()
			.filter((waiter) -> transaction.writes().stream().anyMatch((row) -> row.table().equals(waiter.table)))
			.forEach(Waiter::answer);
	}

	private Either<Failure, RowChanges> changes(String table, long afterVersion) {
		if (afterVersion < this.forgottenVersion) {
			return Either.right(RowChanges.HISTORY_LOST);
		}
		List<Either<Failure, RowChanges>> answers = new ArrayList<>();
		this.rows.changes(table, afterVersion, Duration.ZERO, answers::add);
		return answers.get(0);
	}

	/**
	 * Ways in which the store answers a process.
	 */
	enum Mode {

		ANSWERING, SILENT, REFUSING, LOSING_ANSWERS, DELAYING

	}

	/**
	 * A call that waits for a change.
	 */
	private final class Waiter {

		private final String table;

		private final long afterVersion;

		private final Consumer<Either<Failure, RowChanges>> answer;

		private Waiter(String table, long afterVersion, Consumer<Either<Failure, RowChanges>> answer) {
			this.table = table;
			this.afterVersion = afterVersion;
			this.answer = answer;
		}

		private void answer() {
			if (SimulatedStore.this.waiters.remove(this)) {
				this.answer.accept(changes(this.table, this.afterVersion));
			}
		}

	}

	/**
	 * The store as one process reaches it, over a link whose bandwidth all its calls
	 * share.
	 */
	final class Client implements RowStore {

		private final SimulatedProcess process;

		private final double bitsPerSecond;

		private Mode mode = Mode.ANSWERING;

		private long linkFreeNanos;

		Client(SimulatedProcess process, double megabitsPerSecond) {
			this.process = process;
			this.bitsPerSecond = megabitsPerSecond * 1e6;
		}

		Mode mode() {
			return this.mode;
		}

		void mode(Mode next) {
			this.mode = next;
		}

		@Override
		public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
			SimulatedStore store = SimulatedStore.this;
			Either<Failure, RowCommit> unknown = Either.left(ErrorCode.STORE_UNKNOWN.with("no answer in time"));
			// The call is carried out even if the process ends meanwhile.
			store.time.schedule(LATENCY, () -> {
				switch (this.mode) {
					case ANSWERING -> store.commit(transaction,
							(outcome) -> this.process.schedule(LATENCY, () -> answer.accept(outcome)));
					case REFUSING -> this.process.schedule(LATENCY, () -> answer.accept(unavailable()));
					case SILENT -> this.process.schedule(CALL_TIMEOUT, () -> answer.accept(unknown));
					case LOSING_ANSWERS -> {
						store.commit(transaction, (outcome) -> {
						});
						this.process.schedule(CALL_TIMEOUT, () -> answer.accept(unknown));
					}
					case DELAYING -> {
						store.time.schedule(DELAY, () -> store.commit(transaction, (outcome) -> {
						}));
						this.process.schedule(CALL_TIMEOUT, () -> answer.accept(unknown));
					}
				}
			});
		}

		private <T> Either<Failure, T> unavailable() {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the store does not answer"));
		}

		private <T> void read(Duration timeout, Consumer<Consumer<Either<Failure, T>>> call,
				Consumer<Either<Failure, T>> answer, java.util.function.ToLongFunction<T> size) {
			long deadline = SimulatedStore.this.time.nanoTime() + timeout.toNanos();
			SimulatedStore.this.time.schedule(LATENCY, () -> {
				switch (this.mode) {
					case SILENT -> this.process.schedule(timeout, () -> answer.accept(unavailable()));
					case REFUSING -> this.process.schedule(LATENCY, () -> answer.accept(unavailable()));
					default -> call.accept((outcome) -> transfer(outcome, deadline, answer, size));
				}
			});
		}

		private <T> void transfer(Either<Failure, T> outcome, long deadline, Consumer<Either<Failure, T>> answer,
				java.util.function.ToLongFunction<T> size) {
			long now = SimulatedStore.this.time.nanoTime();
			long bytes = outcome.map(size::applyAsLong).getOrElse(0L);
			long end = Math.max(now, this.linkFreeNanos) + (long) (bytes * 8 * 1e9 / this.bitsPerSecond);
			this.linkFreeNanos = Math.min(end, Math.max(deadline, this.linkFreeNanos));
			long arrival = Math.max(now, Math.min(end, deadline));
			this.process.schedule(Duration.ofNanos(arrival - now).plus(LATENCY),
					() -> answer.accept((end > deadline) ? unavailable() : outcome));
		}

		private static long size(List<StoredRow> answered) {
			return answered.stream().mapToLong((row) -> ROW_OVERHEAD + row.value().length() * 4L / 3).sum();
		}

		@Override
		public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
			read(CALL_TIMEOUT,
					(Consumer<Either<Failure, StoredRow>> next) -> SimulatedStore.this.rows.read(table, key, next),
					answer, (row) -> size(List.of(row)));
		}

		@Override
		public int partitions(String table) {
			return 1;
		}

		@Override
		public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
			read(CALL_TIMEOUT,
					(Consumer<Either<Failure, RowPage>> next) -> SimulatedStore.this.rows.scan(request, next), answer,
					(page) -> size(page.rows()));
		}

		@Override
		public void changes(String table, long afterVersion, Duration maximumWait,
				Consumer<Either<Failure, RowChanges>> answer) {
			read(CALL_TIMEOUT.plus(maximumWait), (Consumer<Either<Failure, RowChanges>> next) -> {
				Either<Failure, RowChanges> now = SimulatedStore.this.changes(table, afterVersion);
				if (now.get().historyLost() || !now.get().rows().isEmpty()) {
					next.accept(now);
					return;
				}
				Waiter waiter = new Waiter(table, afterVersion, next);
				SimulatedStore.this.waiters.add(waiter);
				SimulatedStore.this.time.schedule(maximumWait, waiter::answer);
			}, answer, (changes) -> size(changes.rows()));
		}

	}

}
