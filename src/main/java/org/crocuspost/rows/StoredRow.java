package org.crocuspost.rows;

import java.util.Objects;

/**
 * Holds a row of the platform's store.
 *
 * @param key the key within its table
 * @param version rises with each transaction of the store; {@link #ABSENT} if the row
 * does not exist
 * @param value the value; empty if the row does not exist
 */
public record StoredRow(String key, long version, String value) {

	/**
	 * Version of a row that does not exist.
	 */
	public static final long ABSENT = 0;

	/**
	 * Value of a row whose value could not be decoded. No reader of a row accepts it, but
	 * the presence of the row and its version still count.
	 */
	public static final String UNREADABLE = "\uFFFD";

	public StoredRow {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns whether the row exists.
	 * @return true if it exists
	 */
	public boolean exists() {
		return this.version != ABSENT;
	}

}
