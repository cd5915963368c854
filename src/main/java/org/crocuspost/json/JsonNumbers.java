package org.crocuspost.json;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads numbers of JSON documents by other writers. The conversions of Jackson wrap large
 * numbers around, so that a capacity beyond the range of an {@code int} may become a
 * small or a negative one.
 */
public final class JsonNumbers {

	private JsonNumbers() {
	}

	/**
	 * Reads a number. A fraction is cut off.
	 * @param node the object that contains it
	 * @param field the name of the field
	 * @param absent the value if the field is missing or null
	 * @return the number
	 * @throws IllegalArgumentException if the field is not a number or out of range
	 */
	public static int intValue(JsonNode node, String field, int absent) {
		return (int) longValue(node, field, absent, Integer.MIN_VALUE, Integer.MAX_VALUE);
	}

	/**
	 * Reads a number. A fraction is cut off.
	 * @param node the object that contains it
	 * @param field the name of the field
	 * @param absent the value if the field is missing or null
	 * @return the number
	 * @throws IllegalArgumentException if the field is not a number or out of range
	 */
	public static long longValue(JsonNode node, String field, long absent) {
		return longValue(node, field, absent, Long.MIN_VALUE, Long.MAX_VALUE);
	}

	/**
	 * Reads a number within bounds. A fraction is cut off.
	 * @param node the object that contains it
	 * @param field the name of the field
	 * @param absent the value if the field is missing or null
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @return the number
	 * @throws IllegalArgumentException if the field is not a number or out of range
	 */
	public static long longValue(JsonNode node, String field, long absent, long minimum, long maximum) {
		JsonNode value = node.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return absent;
		}
		return number(value, field, minimum, maximum);
	}

	/**
	 * Reads an element of an array. A fraction is cut off.
	 * @param element the element
	 * @param name the name of the array, for the message of the error
	 * @return the number
	 * @throws IllegalArgumentException if the element is not a number or out of range
	 */
	public static int element(JsonNode element, String name) {
		return (int) number(element, name, Integer.MIN_VALUE, Integer.MAX_VALUE);
	}

	private static long number(JsonNode value, String name, long minimum, long maximum) {
		if (!value.isNumber() || !value.canConvertToLong() || value.longValue() < minimum
				|| value.longValue() > maximum) {
			throw new IllegalArgumentException(name + " is not a number from " + minimum + " to " + maximum);
		}
		return value.longValue();
	}

}
