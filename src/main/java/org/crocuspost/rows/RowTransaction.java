package org.crocuspost.rows;

import java.util.List;

/**
 * Writes and removals that are applied atomically if all conditions are met.
 *
 * @param conditions versions that rows must have
 * @param writes rows to write
 * @param removals rows to remove
 */
public record RowTransaction(List<Condition> conditions, List<Write> writes, List<Removal> removals) {

	public RowTransaction {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
		removals = List.copyOf(removals);
	}

	/**
	 * Creates a transaction that removes nothing.
	 * @param conditions versions that rows must have
	 * @param writes rows to write
	 * @return the transaction
	 */
	public static RowTransaction of(List<Condition> conditions, List<Write> writes) {
		return new RowTransaction(conditions, writes, List.of());
	}

	/**
	 * Requires a version of a row.
	 *
	 * @param table the table
	 * @param key the key
	 * @param version the version; {@link StoredRow#ABSENT} if the row must not exist
	 */
	public record Condition(String table, String key, long version) {
	}

	/**
	 * A row to write.
	 *
	 * @param table the table
	 * @param key the key
	 * @param value the value
	 */
	public record Write(String table, String key, String value) {
	}

	/**
	 * A row to remove.
	 *
	 * @param table the table
	 * @param key the key
	 */
	public record Removal(String table, String key) {
	}

}
