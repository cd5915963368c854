package org.crocuspost.platform.hosted;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.crocuspost.net.Sockets;

/**
 * Settings file of the platform. Each line consists of a name, an equals sign and a
 * value. Errors are collected, so that all of them are reported at once.
 */
public final class PropertyFile {

	private final Map<String, String> values;

	private final List<String> errors = new ArrayList<>();

	/**
	 * Parses the text of a settings file.
	 * @param text the text of the file
	 */
	public PropertyFile(String text) {
		this.values = new HashMap<>();
		for (String line : text.split("\n")) {
			int equals = line.indexOf('=');
			if (equals > 0 && !line.startsWith("#")) {
				this.values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
			}
		}
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file
	 * @return the parsed file
	 * @throws SettingsException if the file cannot be read
	 */
	public static PropertyFile read(Path path) {
		try {
			return new PropertyFile(Files.readString(path));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of("the settings file " + path + " cannot be read: " + ex.getMessage()));
		}
	}

	/**
	 * Returns an optional value.
	 * @param name the name of the value
	 * @return the value, or empty if it is missing or blank
	 */
	public Optional<String> optional(String name) {
		return Optional.ofNullable(this.values.get(name)).filter((value) -> !value.isBlank());
	}

	/**
	 * Returns a required value. Records an error if it is missing.
	 * @param name the name of the value
	 * @return the value, or an empty text if it is missing
	 */
	public String text(String name) {
		return optional(name).orElseGet(() -> {
			this.errors.add(name + " is missing");
			return "";
		});
	}

	/**
	 * Returns a required number that must not be negative. Records an error if it is
	 * missing or invalid.
	 * @param name the name of the value
	 * @param parser parses the number
	 * @return the number, or 1 if it is missing or malformed
	 */
	public double number(String name, ToDoubleFunction<String> parser) {
		String text = text(name);
		try {
			double value = text.isEmpty() ? 1 : parser.applyAsDouble(text);
			if (value < 0) {
				this.errors.add(name + " must not be negative, but is " + text);
			}
			return value;
		}
		catch (NumberFormatException ex) {
			this.errors.add(name + " must be a number, but is " + text);
			return 1;
		}
	}

	/**
	 * Returns an optional number that must not be negative. Records an error if it is
	 * invalid.
	 * @param name the name of the value
	 * @param absent the number if the value is missing
	 * @return the number
	 */
	public double optionalNumber(String name, double absent) {
		return optional(name).isPresent() ? number(name, Double::parseDouble) : absent;
	}

	/**
	 * Returns an optional flag. Records an error if it is neither true nor false.
	 * @param name the name of the value
	 * @return the flag; false if the value is missing
	 */
	public boolean flag(String name) {
		String text = optional(name).orElse("false");
		if (!text.equals("true") && !text.equals("false")) {
			this.errors.add(name + " must be true or false, but is " + text);
		}
		return text.equals("true");
	}

	/**
	 * Returns a required duration.
	 * @param name the name of a value in milliseconds
	 * @return the duration
	 */
	public Duration milliseconds(String name) {
		return Duration.ofMillis((long) number(name, Double::parseDouble));
	}

	/**
	 * Parses an address. Records an error if it is malformed.
	 * @param text the text of the address
	 * @return the address, or empty if it is malformed
	 */
	public Optional<InetSocketAddress> address(String text) {
		try {
			return Optional.of(Sockets.parseAddress(text));
		}
		catch (IllegalArgumentException ex) {
			this.errors.add(String.valueOf(ex.getMessage()));
			return Optional.empty();
		}
	}

	/**
	 * Throws an exception if errors were recorded.
	 * @throws SettingsException with all recorded errors
	 */
	public void throwIfInvalid() {
		if (!this.errors.isEmpty()) {
			throw new SettingsException(this.errors);
		}
	}

}
