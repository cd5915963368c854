package org.crocuspost.rows;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the pages of several partitions form one table.
 */
class PartitionedScanTests {

	private final List<Either<Failure, RowPage>> answers = new ArrayList<>();

	private final PartitionedScan scan = new PartitionedScan(2, this.answers::add);

	private static Either<Failure, RowPage> page(boolean complete, long version, String... keys) {
		return Either.right(new RowPage(List.of(keys).stream().map((key) -> new StoredRow(key, 1, "value")).toList(),
				complete, version));
	}

	private List<String> keys() {
		return this.answers.get(0).get().rows().stream().map(StoredRow::key).toList();
	}

	/**
	 * Guards against skipped rows: the next page starts after the last key, so rows after
	 * the end of an incomplete partition must not be returned before its remaining rows.
	 */
	@Test
	void pageEndsWhereFirstIncompletePartitionEnds() {
		this.scan.received(page(false, 7, "a", "f"));
		this.scan.received(page(true, 7, "c", "k"));
		assertThat(keys()).containsExactly("a", "c", "f");
		assertThat(this.answers.get(0).get().complete()).isFalse();
	}

	/**
	 * Guards against lost changes: a partition that was read earlier may have changed
	 * before the other was read.
	 */
	@Test
	void changesAreReadFromOldestPageOn() {
		this.scan.received(page(true, 9, "b"));
		assertThat(this.answers).isEmpty();
		this.scan.received(page(true, 7, "a"));
		assertThat(keys()).containsExactly("a", "b");
		assertThat(this.answers.get(0).get().complete()).isTrue();
		assertThat(this.answers.get(0).get().storeVersion()).isEqualTo(7);
	}

	/**
	 * Guards against a table that lacks the rows of a partition.
	 */
	@Test
	void failureOfOnePartitionFailsScanOnce() {
		this.scan.received(page(true, 9, "b"));
		this.scan.received(Either.left(ErrorCode.STORE_UNAVAILABLE.with("down")));
		this.scan.received(Either.left(ErrorCode.STORE_UNAVAILABLE.with("down")));
		assertThat(this.answers).singleElement().matches(Either::isLeft);
	}

}
