package org.crocuspost.log;

import java.util.Objects;

/**
 * Holds a named value of a log event.
 *
 * @param name the name in camel case, for example {@code requestId}
 * @param value the value as text
 */
public record Field(String name, String value) {

	public Field {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Creates a field.
	 * @param name the name in camel case
	 * @param value the value
	 * @return the field
	 */
	public static Field of(String name, Object value) {
		return new Field(name, String.valueOf(value));
	}

}
