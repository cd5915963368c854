package org.crocuspost.json;

import java.util.List;
import java.util.Map;

/**
 * JSON value with its position in the source text.
 */
public sealed interface LocatedValue {

	/**
	 * Returns the position at which the value starts.
	 * @return the position
	 */
	Position position();

	/**
	 * Returns a description of the value for fault messages.
	 * @return the kind of an object or array, or the content of a scalar
	 */
	String describe();

	/**
	 * Returns the line on which the value starts.
	 * @return the line, from 1
	 */
	default int line() {
		return position().line();
	}

	/**
	 * Returns the column at which the value starts.
	 * @return the column, from 1
	 */
	default int column() {
		return position().column();
	}

	/**
	 * Returns the JSON path of the value.
	 * @return the path, which starts with {@code $}
	 */
	default String path() {
		return position().path();
	}

	/**
	 * Start position of a value.
	 *
	 * @param line the line, from 1
	 * @param column the column, from 1
	 * @param path the JSON path
	 */
	record Position(int line, int column, String path) {
	}

	/**
	 * JSON object.
	 *
	 * @param position the start position
	 * @param members the members by name, in source order
	 */
	record ObjectValue(Position position, Map<String, LocatedValue> members) implements LocatedValue {

		@Override
		public String describe() {
			return "an object";
		}

	}

	/**
	 * JSON array.
	 *
	 * @param position the start position
	 * @param elements the elements, in source order
	 */
	record ArrayValue(Position position, List<LocatedValue> elements) implements LocatedValue {

		@Override
		public String describe() {
			return "an array";
		}

	}

	/**
	 * JSON string.
	 *
	 * @param position the start position
	 * @param text the unescaped content
	 */
	record StringValue(Position position, String text) implements LocatedValue {

		private static final int MAXIMUM_QUOTED_LENGTH = 80;

		@Override
		public String describe() {
			String quoted = (this.text.length() > MAXIMUM_QUOTED_LENGTH)
					? this.text.substring(0, MAXIMUM_QUOTED_LENGTH) + "…" : this.text;
			return Json.write(quoted);
		}

	}

	/**
	 * JSON number.
	 *
	 * @param position the start position
	 * @param text the number as written in the source
	 */
	record NumberValue(Position position, String text) implements LocatedValue {

		@Override
		public String describe() {
			return "the number " + this.text;
		}

	}

	/**
	 * JSON boolean.
	 *
	 * @param position the start position
	 * @param value the boolean
	 */
	record BooleanValue(Position position, boolean value) implements LocatedValue {

		@Override
		public String describe() {
			return String.valueOf(this.value);
		}

	}

	/**
	 * JSON null.
	 *
	 * @param position the start position
	 */
	record NullValue(Position position) implements LocatedValue {

		@Override
		public String describe() {
			return "null";
		}

	}

}
