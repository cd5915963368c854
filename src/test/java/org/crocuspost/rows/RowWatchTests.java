package org.crocuspost.rows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a table is followed and which age is reported for the received rows.
 */
class RowWatchTests {

	private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(1);

	private static final Duration LATENCY = Duration.ofMillis(10);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final UnchangingStore store = new UnchangingStore();

	private final RecordingListener listener = new RecordingListener();

	private final RowWatch watch = new RowWatch(this.store, "table",
			new RowWatch.Settings(MAXIMUM_WAIT, Duration.ofMillis(100)), this.listener, this.time, this.time);

	@Test
	void unchangedTableIsConfirmedAtTheEndOfEachWait() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(10));
		for (int step = 0; step < 300; step++) {
			this.time.advance(Duration.ofMillis(10));
			assertThat(this.watch.age()).isLessThan(MAXIMUM_WAIT.plusMillis(200));
		}
	}

	@Test
	void ageGrowsWhileTheStoreFails() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(5));
		this.store.failing = true;
		this.time.advance(Duration.ofSeconds(5));
		assertThat(this.watch.age()).isGreaterThan(Duration.ofSeconds(3));
		this.store.failing = false;
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.watch.age()).isLessThan(MAXIMUM_WAIT.plusMillis(200));
	}

	/**
	 * A process that was suspended must not take the rows of that moment for new ones.
	 */
	@Test
	void ageIncludesASuspension() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(5));
		this.time.shiftWallClock(Duration.ofSeconds(6));
		assertThat(this.watch.age()).isGreaterThanOrEqualTo(Duration.ofSeconds(6));
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.watch.age()).isLessThan(MAXIMUM_WAIT.plusMillis(200));
	}

	@Test
	void ageIsSmallImmediatelyAfterTheStoreAnswersAgain() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(5));
		this.store.failing = true;
		this.time.advance(Duration.ofSeconds(5));
		this.store.failing = false;
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.watch.age()).isLessThan(Duration.ofMillis(300));
	}

	@Test
	void wholeTableIsReadAgainWhenItsHistoryIsLost() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(3));
		this.store.rows = List.of(new StoredRow("key", 7, "value"));
		this.store.historyLost = true;
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.listener.tables).hasSizeGreaterThan(1);
		assertThat(this.listener.tables.get(1)).containsExactly(new StoredRow("key", 7, "value"));
	}

	/**
	 * A listener that fails must not end the watch: the process would act on old rows for
	 * ever.
	 */
	@Test
	void watchContinuesAfterAnUnexpectedErrorOfItsListener() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(3));
		this.store.rows = List.of(new StoredRow("key", 7, "value"));
		this.store.historyLost = true;
		this.listener.failures = 1;
		this.time.advance(Duration.ofSeconds(6));
		assertThat(this.listener.tables).last().isEqualTo(List.of(new StoredRow("key", 7, "value")));
		assertThat(this.watch.age()).isLessThan(MAXIMUM_WAIT.plusMillis(200));
	}

	/**
	 * An error such as an overflow of the stack on a deeply nested value would otherwise
	 * end the watch without a trace.
	 */
	@Test
	void watchContinuesAfterAStackOverflowOfItsListener() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(3));
		this.store.rows = List.of(new StoredRow("key", 7, "value"));
		this.store.historyLost = true;
		this.listener.overflows = 1;
		this.time.advance(Duration.ofSeconds(6));
		assertThat(this.listener.tables).last().isEqualTo(List.of(new StoredRow("key", 7, "value")));
	}

	/**
	 * Guards against a view that counts as current although its rows are not applied.
	 */
	@Test
	void rowsThatAreNotAppliedConfirmNothing() {
		this.watch.start();
		this.time.advance(Duration.ofSeconds(3));
		this.store.historyLost = true;
		this.listener.failures = 1;
		this.time.advance(MAXIMUM_WAIT.plusMillis(300));
		long versionBefore = this.watch.version();
		Duration before = this.watch.age();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.watch.age()).isEqualTo(before.plusSeconds(1));
		assertThat(this.watch.version()).isEqualTo(versionBefore);
	}

	/**
	 * An answer that the store has cut does not contain the changes up to the call.
	 */
	@Test
	void answerThatMayBeCutConfirmsNothing() {
		this.watch.start();
		this.time.advance(Duration.ofMillis(100));
		this.store.changedRows = IntStream.range(0, 500)
			.mapToObj((number) -> new StoredRow("key-" + number, 2 + number, "value"))
			.toList();
		this.store.version = 501;
		this.time.advance(Duration.ofSeconds(4));
		assertThat(this.watch.version()).isEqualTo(501);
		assertThat(this.watch.age()).isGreaterThan(Duration.ofSeconds(3));
		this.store.changedRows = List.of();
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.watch.age()).isLessThan(MAXIMUM_WAIT.plusMillis(200));
	}

	/**
	 * A version is as old as the last moment at which the store had no later one.
	 */
	@Test
	void ageOfAVersionCountsFromTheLastMomentAtWhichItWasTheNewest() {
		assertThat(this.watch.ageOf(1)).isGreaterThan(Duration.ofHours(1));
		this.watch.start();
		this.time.advance(Duration.ofSeconds(3));
		this.store.version = 7;
		this.time.advance(Duration.ofSeconds(5));
		assertThat(this.watch.ageOf(0)).isGreaterThan(Duration.ofHours(1));
		assertThat(this.watch.ageOf(1)).isBetween(Duration.ofSeconds(4), Duration.ofSeconds(7));
		assertThat(this.watch.ageOf(6)).isEqualTo(this.watch.ageOf(1));
		assertThat(this.watch.ageOf(7)).isEqualTo(this.watch.age());
	}

	private static final class RecordingListener implements RowWatchListener {

		private final List<List<StoredRow>> tables = new ArrayList<>();

		private int failures;

		private int overflows;

		@Override
		public void tableRead(List<StoredRow> rows) {
			if (this.failures > 0) {
				this.failures--;
				throw new IllegalStateException("scripted");
			}
			if (this.overflows > 0) {
				this.overflows--;
				throw new StackOverflowError("scripted");
			}
			this.tables.add(List.copyOf(rows));
		}

		@Override
		public void rowsChanged(List<StoredRow> rows) {
		}

	}

	/**
	 * Store whose changes the tests set.
	 */
	private final class UnchangingStore implements RowStore {

		private List<StoredRow> rows = List.of();

		private List<StoredRow> changedRows = List.of();

		private long version = 1;

		private boolean failing;

		private boolean historyLost;

		@Override
		public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
			throw new UnsupportedOperationException("a watch does not write");
		}

		@Override
		public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
			throw new UnsupportedOperationException("a watch reads no single rows");
		}

		@Override
		public int partitions(String table) {
			return 1;
		}

		@Override
		public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
			later(LATENCY, new RowPage(this.rows, true, this.version), answer);
		}

		@Override
		public void changes(String table, long afterVersion, Duration maximumWait,
				Consumer<Either<Failure, RowChanges>> answer) {
			RowChanges changes = this.historyLost ? RowChanges.HISTORY_LOST
					: new RowChanges(false, this.changedRows, this.version);
			this.historyLost = false;
			later(this.failing ? LATENCY : maximumWait.plus(LATENCY), changes, answer);
		}

		private <T> void later(Duration delay, T value, Consumer<Either<Failure, T>> answer) {
			RowWatchTests.this.time.schedule(delay, () -> answer
				.accept(this.failing ? Either.left(ErrorCode.STORE_UNAVAILABLE.with("test")) : Either.right(value)));
		}

	}

}
