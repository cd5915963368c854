package org.crocuspost.rows;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.jspecify.annotations.Nullable;

/**
 * Merges pages that start at the same key, one of each partition of a table, into one
 * page in the order of keys. Not thread-safe.
 *
 * <p>
 * A partition whose page is incomplete may hold further rows after its last key, so the
 * merged page ends at the smallest of these last keys. Example: one page ends at "f" and
 * has more, the other is complete and holds "c" and "k". The merged page ends at "f"; the
 * next one, read from after "f", begins with the rest of the first partition and "k".
 */
public final class PartitionedScan {

	private final int partitions;

	private final Consumer<Either<Failure, RowPage>> answer;

	private final List<RowPage> pages = new ArrayList<>();

	private boolean failed;

	/**
	 * Creates a scan that waits for its pages.
	 * @param partitions the number of partitions
	 * @param answer receives the merged page, or the first failure
	 */
	public PartitionedScan(int partitions, Consumer<Either<Failure, RowPage>> answer) {
		this.partitions = partitions;
		this.answer = answer;
	}

	/**
	 * Adds the page of one partition.
	 * @param page the page, or the reason why it could not be read
	 */
	public void received(Either<Failure, RowPage> page) {
		if (this.failed) {
			return;
		}
		if (page.isLeft()) {
			this.failed = true;
			this.answer.accept(page);
			return;
		}
		this.pages.add(page.get());
		if (this.pages.size() == this.partitions) {
			this.answer.accept(Either.right(merge()));
		}
	}

	private RowPage merge() {
		String lastKey = null;
		long storeVersion = Long.MAX_VALUE;
		List<StoredRow> rows = new ArrayList<>();
		for (RowPage page : this.pages) {
			// The changes that follow the table are read from the oldest page on.
			storeVersion = Math.min(storeVersion, page.storeVersion());
			rows.addAll(page.rows());
			if (!page.complete()) {
				String last = page.rows().get(page.rows().size() - 1).key();
				lastKey = (lastKey == null || last.compareTo(lastKey) < 0) ? last : lastKey;
			}
		}
		rows.sort(Comparator.comparing(StoredRow::key));
		return new RowPage(upTo(lastKey, rows), lastKey == null, storeVersion);
	}

	private static List<StoredRow> upTo(@Nullable String lastKey, List<StoredRow> rows) {
		if (lastKey == null) {
			return rows;
		}
		return rows.stream().filter((row) -> row.key().compareTo(lastKey) <= 0).toList();
	}

}
