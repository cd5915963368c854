package org.crocuspost.rows;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Holds the definite outcome of a transaction.
 *
 * @param applied true if all writes were applied, false if none was
 * @param version the version of the written rows if they were applied
 * @param current the current state of the rows named in the conditions if no write was
 * applied
 * @param storeMillis the time of the store's steady clock when it answered, in
 * milliseconds since an arbitrary origin; empty if the answer does not say
 */
public record RowCommit(boolean applied, long version, List<StoredRow> current, OptionalLong storeMillis) {

	public RowCommit {
		current = List.copyOf(current);
		Objects.requireNonNull(storeMillis, "storeMillis");
	}

}
