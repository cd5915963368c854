package org.crocuspost.json;

import java.math.BigDecimal;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.crocuspost.json.LocatedValue.ArrayValue;
import org.crocuspost.json.LocatedValue.BooleanValue;
import org.crocuspost.json.LocatedValue.NumberValue;
import org.crocuspost.json.LocatedValue.ObjectValue;
import org.crocuspost.json.LocatedValue.StringValue;

/**
 * Creates readers for common types of JSON values.
 */
public final class ValueReaders {

	private ValueReaders() {
	}

	/**
	 * Returns a reader of strings.
	 * @return the reader
	 */
	public static ValueReader<String> string() {
		return (value, faults) -> {
			if (value instanceof StringValue string) {
				return Optional.of(string.text());
			}
			faults.add(value, "a string");
			return Optional.empty();
		};
	}

	/**
	 * Returns a reader of strings that match a pattern.
	 * @param pattern the pattern that the entire string must match
	 * @param allowed the description of allowed strings for fault messages
	 * @return the reader
	 */
	public static ValueReader<String> string(Pattern pattern, String allowed) {
		return (value, faults) -> {
			if (value instanceof StringValue string && pattern.matcher(string.text()).matches()) {
				return Optional.of(string.text());
			}
			faults.add(value, allowed);
			return Optional.empty();
		};
	}

	/**
	 * Returns a reader of whole numbers in a range.
	 * @param minimum the smallest allowed number
	 * @param maximum the largest allowed number
	 * @return the reader
	 */
	public static ValueReader<Long> integer(long minimum, long maximum) {
		return (value, faults) -> {
			Optional<Long> number = parseInteger(value).filter((found) -> found >= minimum && found <= maximum);
			if (number.isEmpty()) {
				faults.add(value, "a whole number from " + minimum + " to " + maximum);
			}
			return number;
		};
	}

	/**
	 * Returns a reader of decimal numbers in a range.
	 * @param minimum the smallest allowed number
	 * @param maximum the largest allowed number
	 * @return the reader
	 */
	public static ValueReader<Double> decimal(double minimum, double maximum) {
		return (value, faults) -> {
			if (value instanceof NumberValue number) {
				double found = Double.parseDouble(number.text());
				if (found >= minimum && found <= maximum) {
					return Optional.of(found);
				}
			}
			faults.add(value, "a number from " + minimum + " to " + maximum);
			return Optional.empty();
		};
	}

	/**
	 * Returns a reader of booleans.
	 * @return the reader
	 */
	public static ValueReader<Boolean> bool() {
		return (value, faults) -> {
			if (value instanceof BooleanValue bool) {
				return Optional.of(bool.value());
			}
			faults.add(value, "true or false");
			return Optional.empty();
		};
	}

	/**
	 * Returns a reader of ISO 8601 durations in a range, for example {@code PT0.25S}.
	 * @param minimum the shortest allowed duration
	 * @param maximum the longest allowed duration
	 * @return the reader
	 */
	public static ValueReader<Duration> duration(Duration minimum, Duration maximum) {
		return (value, faults) -> {
			Optional<Duration> duration = parseDuration(value)
				.filter((found) -> found.compareTo(minimum) >= 0 && found.compareTo(maximum) <= 0);
			if (duration.isEmpty()) {
				faults.add(value, "an ISO 8601 duration from " + minimum + " to " + maximum);
			}
			return duration;
		};
	}

	/**
	 * Returns a reader of the names of enum constants, written in lower case with
	 * hyphens.
	 * @param type the enum class
	 * @param <E> the enum type
	 * @return the reader
	 */
	public static <E extends Enum<E>> ValueReader<E> enumeration(Class<E> type) {
		return (value, faults) -> {
			Optional<E> constant = Arrays.stream(type.getEnumConstants())
				.filter((candidate) -> value instanceof StringValue string
						&& string.text().equals(constantName(candidate)))
				.findFirst();
			if (constant.isEmpty()) {
				faults.add(value,
						"one of " + Arrays.stream(type.getEnumConstants())
							.map(ValueReaders::constantName)
							.collect(Collectors.joining(", ")));
			}
			return constant;
		};
	}

	/**
	 * Returns a reader of arrays. Faulty elements are reported and omitted from the
	 * result.
	 * @param element the reader of the elements
	 * @param <T> the type of an element
	 * @return the reader
	 */
	public static <T> ValueReader<List<T>> list(ValueReader<T> element) {
		return (value, faults) -> {
			if (!(value instanceof ArrayValue array)) {
				faults.add(value, "an array");
				return Optional.empty();
			}
			List<T> result = new ArrayList<>();
			array.elements().forEach((item) -> element.read(item, faults).ifPresent(result::add));
			return Optional.of(result);
		};
	}

	/**
	 * Returns a reader of objects with arbitrary member names. Members with faulty values
	 * are reported and omitted from the result.
	 * @param member the reader of the member values
	 * @param <T> the type of a member value
	 * @return the reader
	 */
	public static <T> ValueReader<Map<String, T>> map(ValueReader<T> member) {
		return (value, faults) -> {
			if (!(value instanceof ObjectValue object)) {
				faults.add(value, "an object");
				return Optional.empty();
			}
			Map<String, T> result = new LinkedHashMap<>();
			object.members()
				.forEach((name, item) -> member.read(item, faults).ifPresent((read) -> result.put(name, read)));
			return Optional.of(result);
		};
	}

	private static Optional<Long> parseInteger(LocatedValue value) {
		if (!(value instanceof NumberValue number)) {
			return Optional.empty();
		}
		try {
			BigDecimal decimal = new BigDecimal(number.text());
			return (Math.abs((long) decimal.scale()) > 20) ? Optional.empty() : Optional.of(decimal.longValueExact());
		}
		catch (ArithmeticException | NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Duration> parseDuration(LocatedValue value) {
		if (!(value instanceof StringValue string)) {
			return Optional.empty();
		}
		try {
			return Optional.of(Duration.parse(string.text()));
		}
		catch (DateTimeParseException | ArithmeticException ex) {
			return Optional.empty();
		}
	}

	private static String constantName(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
