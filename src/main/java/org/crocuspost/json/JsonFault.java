package org.crocuspost.json;

import java.util.Objects;

/**
 * Describes one fault in a JSON text from outside: a syntax error or a value that is not
 * allowed.
 *
 * @param line the line, from 1
 * @param column the column, from 1
 * @param path the JSON path of the faulty value, for example {@code $.services[0].name}
 * @param found a description of what was found
 * @param allowed a description of what is allowed
 */
public record JsonFault(int line, int column, String path, String found, String allowed) {

	public JsonFault {
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(found, "found");
		Objects.requireNonNull(allowed, "allowed");
	}

	/**
	 * Returns the fault as one line of text.
	 * @return the text with line, column, path, what was found and what is allowed
	 */
	public String describe() {
		return "line " + this.line + ", column " + this.column + ", " + this.path + ": found " + this.found
				+ ", allowed is " + this.allowed;
	}

}
