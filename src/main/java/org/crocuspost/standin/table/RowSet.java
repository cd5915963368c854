package org.crocuspost.standin.table;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.Transaction;

/**
 * Versioned rows in memory. Versions come from one sequence for all keys, so the version
 * of a key increases even if its row is deleted and written again.
 */
final class RowSet {

	private final NavigableMap<String, Row> rows;

	private long sequence;

	RowSet() {
		this.rows = new TreeMap<>();
	}

	RowSet(RowSet original) {
		this.rows = new TreeMap<>(original.rows);
		this.sequence = original.sequence;
	}

	Row read(String key) {
		Row row = this.rows.get(key);
		return (row != null) ? row : Row.absent(key);
	}

	Seq<Row> scan(String prefix) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(prefix, true).values()) {
			if (!row.key().startsWith(prefix)) {
				break;
			}
			found.add(row);
		}
		return Vector.ofAll(found);
	}

	CommitResult apply(Transaction transaction) {
		Seq<Row> conflicts = transaction.conditions()
			.filter((condition) -> read(condition.key()).version() != condition.version())
			.map((condition) -> read(condition.key()));
		if (!conflicts.isEmpty()) {
			return new CommitResult.Conflict(conflicts);
		}
		List<Row> written = new ArrayList<>();
		for (Transaction.Write write : transaction.writes()) {
			apply(write, written);
		}
		return new CommitResult.Committed(Vector.ofAll(written));
	}

	private void apply(Transaction.Write write, List<Row> written) {
		if (write.deletion()) {
			this.rows.remove(write.key());
			return;
		}
		this.sequence++;
		Row row = new Row(write.key(), this.sequence, write.value());
		this.rows.put(write.key(), row);
		written.add(row);
	}

}
