package org.crocuspost.platform.table;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;

/**
 * Transaction of the table service. All writes are applied if all conditions hold,
 * otherwise none.
 *
 * @param conditions the versions that rows must have
 * @param writes the rows to write or delete
 */
public record Transaction(Seq<Condition> conditions, Seq<Write> writes) {

	/**
	 * Returns a transaction without conditions and writes.
	 * @return the empty transaction
	 */
	public static Transaction empty() {
		return new Transaction(Vector.empty(), Vector.empty());
	}

	/**
	 * Adds a condition to a copy of this transaction.
	 * @param key the key of a row
	 * @param version the version that the row must have; {@link Row#ABSENT} if it must
	 * not exist
	 * @return the extended transaction
	 */
	public Transaction require(String key, long version) {
		return new Transaction(this.conditions.append(new Condition(key, version)), this.writes);
	}

	/**
	 * Adds a write to a copy of this transaction.
	 * @param key the key of the row
	 * @param value the new value
	 * @return the extended transaction
	 */
	public Transaction put(String key, String value) {
		return new Transaction(this.conditions, this.writes.append(new Write(key, value, false)));
	}

	/**
	 * Adds a deletion to a copy of this transaction.
	 * @param key the key of the row
	 * @return the extended transaction
	 */
	public Transaction delete(String key) {
		return new Transaction(this.conditions, this.writes.append(new Write(key, "", true)));
	}

	/**
	 * Condition that a row has a certain version.
	 *
	 * @param key the key of the row
	 * @param version the version that the row must have; {@link Row#ABSENT} if it must
	 * not exist
	 */
	public record Condition(String key, long version) {
	}

	/**
	 * Write or deletion of one row.
	 *
	 * @param key the key of the row
	 * @param value the new value; empty for a deletion
	 * @param deletion whether the row is deleted
	 */
	public record Write(String key, String value, boolean deletion) {
	}

}
