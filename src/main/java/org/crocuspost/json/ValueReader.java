package org.crocuspost.json;

import java.util.Optional;

/**
 * Turns a JSON value into a typed value.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface ValueReader<T> {

	/**
	 * Reads a value.
	 * @param value the JSON value
	 * @param faults is told of each fault
	 * @return the typed value, or empty after a fault
	 */
	Optional<T> read(LocatedValue value, JsonFaults faults);

}
