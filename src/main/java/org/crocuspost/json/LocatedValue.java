package org.crocuspost.json;

import java.util.List;
import java.util.Map;

/**
 * JSON value that knows where it stands in its text.
 */
public sealed interface LocatedValue {

	/**
	 * Returns where the value starts.
	 * @return the position
	 */
	Position position();

	/**
	 * Returns what the value is, for a message about a fault.
	 * @return the kind of the value, with the content of a scalar
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
	 * Where a value starts.
	 *
	 * @param line the line, from 1
	 * @param column the column, from 1
	 * @param path the JSON path
	 */
	record Position(int line, int column, String path) {
	}

	/**
	 * An object.
	 *
	 * @param position where it starts
	 * @param members the members in order of the text
	 */
	record ObjectValue(Position position, Map<String, LocatedValue> members) implements LocatedValue {

		@Override
		public String describe() {
			return "an object";
		}

	}

	/**
	 * An array.
	 *
	 * @param position where it starts
	 * @param elements the elements
	 */
	record ArrayValue(Position position, List<LocatedValue> elements) implements LocatedValue {

		@Override
		public String describe() {
			return "an array";
		}

	}

	/**
	 * A string.
	 *
	 * @param position where it starts
	 * @param text the content
	 */
	record StringValue(Position position, String text) implements LocatedValue {

		private static final int LONGEST_QUOTE = 80;

		@Override
		public String describe() {
			String shown = (this.text.length() > LONGEST_QUOTE) ? this.text.substring(0, LONGEST_QUOTE) + "…"
					: this.text;
			return Json.write(shown);
		}

	}

	/**
	 * A number.
	 *
	 * @param position where it starts
	 * @param text the number as written
	 */
	record NumberValue(Position position, String text) implements LocatedValue {

		@Override
		public String describe() {
			return "the number " + this.text;
		}

	}

	/**
	 * True or false.
	 *
	 * @param position where it starts
	 * @param value the content
	 */
	record BooleanValue(Position position, boolean value) implements LocatedValue {

		@Override
		public String describe() {
			return String.valueOf(this.value);
		}

	}

	/**
	 * The value null.
	 *
	 * @param position where it starts
	 */
	record NullValue(Position position) implements LocatedValue {

		@Override
		public String describe() {
			return "null";
		}

	}

}
