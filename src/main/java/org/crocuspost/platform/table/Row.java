package org.crocuspost.platform.table;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * Row of the table service with its version.
 *
 * @param key the key, with parts separated by slashes
 * @param version the version, which increases with every write of the key;
 * {@link #ABSENT} if the row does not exist
 * @param value the value, JSON by convention; empty if the row does not exist
 */
public record Row(String key, long version, String value) {

	/**
	 * Version of a row that does not exist.
	 */
	public static final long ABSENT = 0;

	public Row {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the row that represents a missing key.
	 * @param key the key
	 * @return the row
	 */
	public static Row absent(String key) {
		return new Row(key, ABSENT, "");
	}

	/**
	 * Returns whether the row exists.
	 * @return whether the row exists
	 */
	public boolean exists() {
		return this.version != ABSENT;
	}

	/**
	 * Returns the size of the value.
	 * @return the number of bytes in UTF-8
	 */
	public int valueBytes() {
		return this.value.getBytes(StandardCharsets.UTF_8).length;
	}

}
