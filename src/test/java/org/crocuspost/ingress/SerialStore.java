package org.crocuspost.ingress;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.lead.Tables;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.VirtualTime;

/**
 * Store on virtual time whose partitions each execute transactions serially. Reads do not
 * wait for transactions. Calls time out like those of the platform's store, and a
 * transaction that has timed out stays queued.
 */
final class SerialStore implements RowStore {

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

	private final MemoryRowStore rows = new MemoryRowStore();

	private final VirtualTime time;

	private final Map<Integer, Deque<Runnable>> queues = new HashMap<>();

	private final Set<Integer> executing = new HashSet<>();

	private int slowness = 1;

	private int maximumQueued = 200;

	private boolean losesAnswers;

	private Duration lateness = Duration.ZERO;

	private boolean refuses;

	private boolean silent;

	private int transactions;

	private int reads;

	private int largest;

	SerialStore(VirtualTime time) {
		this.time = time;
	}

	/**
	 * Makes transactions, which take 5 ms, and reads, which take 4 ms, take longer.
	 */
	void setSlowness(int factor) {
		this.slowness = factor;
	}

	void setMaximumQueued(int count) {
		this.maximumQueued = count;
	}

	/**
	 * Loses the answers of transactions until told otherwise.
	 * @param delay the time after which the transactions are executed
	 */
	void loseAnswers(boolean value, Duration delay) {
		this.losesAnswers = value;
		this.lateness = delay;
	}

	void setRefuses(boolean value) {
		this.refuses = value;
	}

	/**
	 * Makes the store leave all calls unanswered; it executes nothing meanwhile.
	 */
	void setSilent(boolean value) {
		this.silent = value;
	}

	int transactions() {
		return this.transactions;
	}

	int reads() {
		return this.reads;
	}

	int largest() {
		return this.largest;
	}

	StoredRow row(String table, String key) {
		return this.rows.row(table, key);
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		this.transactions++;
		this.largest = Math.max(this.largest, transaction.writes().size());
		Call<RowCommit> call = new Call<>(answer, ErrorCode.STORE_UNKNOWN);
		if (this.silent) {
			return;
		}
		int partition = partition(transaction);
		Deque<Runnable> queue = this.queues.computeIfAbsent(partition, (number) -> new ArrayDeque<>());
		if (this.refuses || queue.size() >= this.maximumQueued) {
			call.end(Either.left(ErrorCode.STORE_UNAVAILABLE.with("status 429")));
		}
		else if (this.losesAnswers) {
			this.time.schedule(this.lateness, () -> this.rows.commit(transaction, (outcome) -> {
			}));
		}
		else {
			queue.add(() -> this.rows.commit(transaction, call::end));
			executeNext(partition, queue);
		}
	}

	private static int partition(RowTransaction transaction) {
		RowTransaction.Write row = transaction.writes().get(0);
		return Tables.partition(row.table(), row.key());
	}

	private void executeNext(int partition, Deque<Runnable> queue) {
		if (queue.isEmpty() || !this.executing.add(partition)) {
			return;
		}
		Runnable next = queue.peek();
		this.time.schedule(Duration.ofMillis(5L * this.slowness), () -> {
			queue.remove();
			this.executing.remove(partition);
			next.run();
			executeNext(partition, queue);
		});
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		this.reads++;
		Call<StoredRow> call = new Call<>(answer, ErrorCode.STORE_UNAVAILABLE);
		if (!this.silent) {
			this.time.schedule(Duration.ofMillis(4L * this.slowness), () -> this.rows.read(table, key, call::end));
		}
	}

	@Override
	public int partitions(String table) {
		return this.rows.partitions(table);
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		this.rows.scan(request, answer);
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		this.rows.changes(table, afterVersion, maximumWait, answer);
	}

	private final class Call<T> {

		private final Consumer<Either<Failure, T>> answer;

		private final Cancellable timeout;

		private boolean ended;

		private Call(Consumer<Either<Failure, T>> answer, ErrorCode code) {
			this.answer = answer;
			this.timeout = SerialStore.this.time.schedule(CALL_TIMEOUT,
					() -> end(Either.left(code.with("no answer in time"))));
		}

		private void end(Either<Failure, T> outcome) {
			if (!this.ended) {
				this.ended = true;
				this.timeout.cancel();
				this.answer.accept(outcome);
			}
		}

	}

}
