package org.crocuspost.json;

import java.util.Optional;

/**
 * Converts a JSON value to a typed value.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface ValueReader<T> {

	/**
	 * Converts a value and reports its faults.
	 * @param value the JSON value
	 * @param faults collects the faults
	 * @return the typed value, or empty if the value is faulty
	 */
	Optional<T> read(LocatedValue value, JsonFaults faults);

}
