package org.crocuspost.timeline;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.crocuspost.json.JsonTrees;

/**
 * Holds one parsed line of the log of a process.
 *
 * @param origin text that a log collector put before the line, such as the host name;
 * empty if there is none
 * @param time the time at which the line was written
 * @param event the name of the event
 * @param fields the other fields
 */
public record LogLine(String origin, Instant time, String event, Map<String, String> fields) {

	public LogLine {
		fields = Map.copyOf(fields);
	}

	/**
	 * Parses a line. Log collectors may put text before the JSON object.
	 * @param text the line
	 * @return the parsed line, or empty if it is not a log line of a process
	 */
	public static Optional<LogLine> parse(String text) {
		int start = text.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode node = JsonTrees.read(text.substring(start).getBytes(StandardCharsets.UTF_8));
			Map<String, String> fields = new LinkedHashMap<>();
			node.fields().forEachRemaining((field) -> fields.put(field.getKey(), field.getValue().asText()));
			String event = fields.remove("event");
			String time = fields.remove("time");
			if (event == null || time == null) {
				return Optional.empty();
			}
			return Optional.of(new LogLine(text.substring(0, start).strip(), Instant.parse(time), event, fields));
		}
		catch (IOException | DateTimeException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the value of a field.
	 * @param name the name of the field
	 * @return the value as text; empty if the line does not have the field
	 */
	public String field(String name) {
		return this.fields.getOrDefault(name, "");
	}

}
