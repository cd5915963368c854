package org.crocuspost.http;

import java.util.Objects;

/**
 * One HTTP header line.
 *
 * @param name the name
 * @param value the value
 */
public record HttpHeader(String name, String value) {

	public HttpHeader {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
