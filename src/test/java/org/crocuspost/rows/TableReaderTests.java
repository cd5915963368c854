package org.crocuspost.rows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.crocuspost.error.Failure;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a table is read completely over links of different bandwidth.
 */
class TableReaderTests {

	private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final List<StoredRow> received = new ArrayList<>();

	private final List<Long> completed = new ArrayList<>();

	private int failures;

	private static List<StoredRow> rows(int number, int characters) {
		String value = "v".repeat(characters);
		return IntStream.range(0, number).mapToObj((index) -> new StoredRow("job/" + index, index + 1, value)).toList();
	}

	private TableReader reader(SharedLinkStore store) {
		TableReader[] reader = new TableReader[1];
		reader[0] = new TableReader(store, "table", this.time, new TableReader.Listener() {

			@Override
			public void pageRead(List<StoredRow> rows) {
				TableReaderTests.this.received.addAll(rows);
			}

			@Override
			public void failed(Failure failure) {
				TableReaderTests.this.failures++;
				TableReaderTests.this.time.schedule(RETRY_PAUSE, reader[0]::read);
			}

			@Override
			public void completed(long storeVersion) {
				TableReaderTests.this.completed.add(storeVersion);
			}

		});
		return reader[0];
	}

	/**
	 * Guards against a table that is never read since its answers time out, and against
	 * rows that are skipped or received twice. Seconds are three times the time that the
	 * link needs for the rows alone, and 15 s for the first timeouts.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 700, 4000, 14, 22", "8, 4000, 4000, 14, 53", "1, 700, 4000, 14, 22", "8, 700, 4000, 1, 107",
			"8, 64, 60000, 2, 77", "1, 64, 60000, 1, 138", "8, 3, 60000, 0.6, 25", "8, 5000, 100, 100, 16" })
	void wholeTableIsReadOverLink(int partitions, int number, int characters, double megabits, int seconds) {
		List<StoredRow> rows = rows(number, characters);
		SharedLinkStore store = new SharedLinkStore(this.time, partitions, megabits, rows);
		reader(store).read();
		this.time.advance(Duration.ofSeconds(seconds));
		assertThat(this.completed).hasSize(1);
		assertThat(this.received).hasSameSizeAs(rows).containsExactlyInAnyOrderElementsOf(rows);
	}

	/**
	 * Guards against a takeover that takes longer because of the adaptation: calls are
	 * billed, and a table of a single page needs no second call.
	 */
	@Test
	void tableOfOnePageIsReadByOneCallOverFastLink() {
		SharedLinkStore store = new SharedLinkStore(this.time, 1, 1_000, rows(500, 100));
		reader(store).read();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.completed).hasSize(1);
		assertThat(store.requests()).containsExactly(PageRequest.first("table", 0));
	}

	/**
	 * Guards against rows that are transferred again because another partition failed,
	 * and against a table that lacks the rows of that partition.
	 */
	@Test
	void onlyFailedPartitionIsReadAgain() {
		List<StoredRow> rows = rows(80, 100);
		SharedLinkStore store = new SharedLinkStore(this.time, 8, 1_000, rows);
		store.unavailablePartitions().add(3);
		reader(store).read();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.completed).isEmpty();
		assertThat(this.failures).isPositive();
		assertThat(store.requests().subList(8, store.requests().size())).isNotEmpty()
			.allMatch((request) -> request.partition() == 3);
		store.unavailablePartitions().clear();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.completed).hasSize(1);
		assertThat(this.received).hasSameSizeAs(rows).containsExactlyInAnyOrderElementsOf(rows);
	}

	/**
	 * Guards against lost changes: a partition that was read earlier may have changed
	 * before another was read.
	 */
	@Test
	void changesAreReadFromOldestPageOn() {
		SharedLinkStore store = new SharedLinkStore(this.time, 8, 1_000, rows(80, 100));
		store.unavailablePartitions().add(0);
		reader(store).read();
		this.time.advance(Duration.ofSeconds(1));
		store.unavailablePartitions().clear();
		this.time.advance(Duration.ofSeconds(1));
		// The version of the store grows with each page; the first page has version 80.
		assertThat(this.completed).containsExactly(80L);
	}

	/**
	 * Guards against rows of an earlier read that arrive after a process has given it up.
	 */
	@Test
	void closedReaderPassesNothingOn() {
		SharedLinkStore store = new SharedLinkStore(this.time, 8, 1, rows(80, 100));
		TableReader reader = reader(store);
		reader.read();
		reader.close();
		this.time.advance(Duration.ofSeconds(5));
		assertThat(this.received).isEmpty();
		assertThat(this.completed).isEmpty();
		assertThat(this.failures).isZero();
	}

}
