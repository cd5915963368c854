package org.crocuspost.rows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.lead.Tables;

/**
 * In-memory store of rows that answers immediately. Tests can make its commits fail.
 */
public final class MemoryRowStore implements RowStore {

	private final Map<String, TreeMap<String, StoredRow>> tables = new TreeMap<>();

	private final List<RowTransaction> held = new ArrayList<>();

	private long version;

	private final Deque<Fault> faultsInTurn = new ArrayDeque<>();

	private Fault fault = Fault.NONE;

	private int commits;

	private Supplier<OptionalLong> steadyClock = OptionalLong::empty;

	/**
	 * Ways in which commits fail.
	 */
	public enum Fault {

		/**
		 * Commits succeed.
		 */
		NONE,

		/**
		 * The transaction is not applied, and the answer says that it had no effect.
		 */
		REFUSED,

		/**
		 * The transaction is not applied, and the answer says that it never will be.
		 */
		REJECTED,

		/**
		 * The transaction is applied, but the answer is lost.
		 */
		ANSWER_LOST,

		/**
		 * There is no answer, and the transaction is applied only when
		 * {@link #applyHeld()} is called.
		 */
		LATE

	}

	/**
	 * Returns the number of commits that were requested, including those that failed.
	 * @return the number
	 */
	public int commits() {
		return this.commits;
	}

	/**
	 * Lets answers tell the time of the store.
	 * @param millis the steady clock of the store, in milliseconds
	 */
	public void setClock(LongSupplier millis) {
		this.steadyClock = () -> OptionalLong.of(millis.getAsLong());
	}

	public void setFault(Fault next) {
		this.fault = next;
	}

	/**
	 * Sets a fault for each of the next commits, in order.
	 * @param faults the faults
	 */
	public void failNextCommits(Fault... faults) {
		this.faultsInTurn.addAll(List.of(faults));
	}

	/**
	 * Applies the held transactions whose conditions are still met.
	 */
	public void applyHeld() {
		List.copyOf(this.held).forEach(this::apply);
		this.held.clear();
	}

	public StoredRow row(String table, String key) {
		return this.tables.getOrDefault(table, new TreeMap<>())
			.getOrDefault(key, new StoredRow(key, StoredRow.ABSENT, ""));
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		this.commits++;
		requireOnePartition(transaction);
		Fault current = this.faultsInTurn.isEmpty() ? this.fault : this.faultsInTurn.remove();
		switch (current) {
			case REFUSED -> answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("refused")));
			case REJECTED -> answer.accept(Either.left(ErrorCode.STORE_REJECTED.with("rejected")));
			case ANSWER_LOST -> {
				apply(transaction);
				answer.accept(Either.left(ErrorCode.STORE_UNKNOWN.with("lost")));
			}
			case LATE -> {
				this.held.add(transaction);
				answer.accept(Either.left(ErrorCode.STORE_UNKNOWN.with("late")));
			}
			default -> answer.accept(Either.right(apply(transaction)));
		}
	}

	// The platform refuses a transaction over several partitions.
	private static void requireOnePartition(RowTransaction transaction) {
		Set<Integer> partitions = new TreeSet<>();
		transaction.conditions().forEach((row) -> partitions.add(Tables.partition(row.table(), row.key())));
		transaction.writes().forEach((row) -> partitions.add(Tables.partition(row.table(), row.key())));
		transaction.removals().forEach((row) -> partitions.add(Tables.partition(row.table(), row.key())));
		if (partitions.size() > 1) {
			throw new IllegalArgumentException("the transaction spans the partitions " + partitions);
		}
	}

	private RowCommit apply(RowTransaction transaction) {
		List<StoredRow> current = new ArrayList<>();
		boolean conditionsMet = true;
		for (RowTransaction.Condition condition : transaction.conditions()) {
			StoredRow row = row(condition.table(), condition.key());
			current.add(row);
			conditionsMet &= row.version() == condition.version();
		}
		if (!conditionsMet) {
			return new RowCommit(false, 0, current, this.steadyClock.get());
		}
		this.version++;
		for (RowTransaction.Write write : transaction.writes()) {
			this.tables.computeIfAbsent(write.table(), (name) -> new TreeMap<>())
				.put(write.key(), new StoredRow(write.key(), this.version, write.value()));
		}
		for (RowTransaction.Removal removal : transaction.removals()) {
			this.tables.getOrDefault(removal.table(), new TreeMap<>()).remove(removal.key());
		}
		return new RowCommit(true, this.version, List.of(), this.steadyClock.get());
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		answer.accept(Either.right(row(table, key)));
	}

	@Override
	public int partitions(String table) {
		return 1;
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		List<StoredRow> rows = List
			.copyOf(this.tables.getOrDefault(request.table(), new TreeMap<>()).tailMap(request.fromKey()).values());
		int returned = Math.min(request.maximumRows(), rows.size());
		answer.accept(Either.right(new RowPage(rows.subList(0, returned), returned == rows.size(), this.version)));
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		List<StoredRow> changed = this.tables.getOrDefault(table, new TreeMap<>())
			.values()
			.stream()
			.filter((row) -> row.version() > afterVersion)
			.sorted(Comparator.comparingLong(StoredRow::version))
			.toList();
		answer.accept(Either.right(new RowChanges(false, changed, this.version)));
	}

}
