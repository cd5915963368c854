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
 * Settings file of the platform: lines of a name, an equals sign and a value. Collects
 * the faults, so that all are reported at once.
 */
public final class PropertyFile {

	private final Map<String, String> values;

	private final List<String> faults = new ArrayList<>();

	/**
	 * Creates the file from its text.
	 * @param text the lines
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
	 * Reads a file.
	 * @param path the path
	 * @return the file
	 * @throws SettingsException if it cannot be read
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
	 * Returns a value that may be missing.
	 * @param name the name
	 * @return the value, or empty if it is missing or blank
	 */
	public Optional<String> optional(String name) {
		return Optional.ofNullable(this.values.get(name)).filter((value) -> !value.isBlank());
	}

	/**
	 * Returns a value that must be there.
	 * @param name the name
	 * @return the value
	 */
	public String text(String name) {
		return optional(name).orElseGet(() -> {
			this.faults.add(name + " is missing");
			return "";
		});
	}

	/**
	 * Returns a number that must be there.
	 * @param name the name
	 * @param parser reads the number
	 * @return the number, or 1 with a fault
	 */
	public double number(String name, ToDoubleFunction<String> parser) {
		String text = text(name);
		try {
			double value = text.isEmpty() ? 1 : parser.applyAsDouble(text);
			if (value < 0) {
				this.faults.add(name + " must not be negative, but is " + text);
			}
			return value;
		}
		catch (NumberFormatException ex) {
			this.faults.add(name + " must be a number, but is " + text);
			return 1;
		}
	}

	/**
	 * Returns a time that must be there.
	 * @param name the name of a value in milliseconds
	 * @return the time
	 */
	public Duration milliseconds(String name) {
		return Duration.ofMillis((long) number(name, Double::parseDouble));
	}

	/**
	 * Reads an address.
	 * @param text the text
	 * @return the address, or empty with a fault
	 */
	public Optional<InetSocketAddress> address(String text) {
		try {
			return Optional.of(Sockets.address(text));
		}
		catch (IllegalArgumentException ex) {
			this.faults.add(String.valueOf(ex.getMessage()));
			return Optional.empty();
		}
	}

	/**
	 * Ends the reading.
	 * @throws SettingsException if there were faults
	 */
	public void throwFaults() {
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
	}

}
