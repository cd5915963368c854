package org.crocuspost.cli;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats JSON as text: an array of objects as a table, an object as one line per member.
 */
final class TableFormatter {

	private static final String GAP = "  ";

	private TableFormatter() {
	}

	static String render(JsonNode body) {
		StringBuilder text = new StringBuilder();
		if (body.isArray()) {
			appendTable(text, body, "");
		}
		else if (body.isObject()) {
			body.fields().forEachRemaining((member) -> appendMember(text, member.getKey(), member.getValue()));
		}
		else {
			text.append(cell(body)).append('\n');
		}
		return text.toString();
	}

	private static void appendMember(StringBuilder text, String name, JsonNode value) {
		boolean table = value.isArray() && !value.isEmpty() && value.get(0).isObject();
		if (table) {
			text.append(name).append(":\n");
			appendTable(text, value, GAP);
		}
		else if (!cell(value).isEmpty()) {
			text.append(name).append(": ").append(cell(value)).append('\n');
		}
	}

	private static void appendTable(StringBuilder text, JsonNode rows, String indent) {
		if (rows.isEmpty()) {
			text.append(indent).append("none\n");
			return;
		}
		List<String> columns = new ArrayList<>();
		rows.get(0).fieldNames().forEachRemaining(columns::add);
		List<List<String>> lines = new ArrayList<>();
		lines.add(columns.stream().map(TableFormatter::heading).toList());
		rows.forEach((row) -> lines.add(columns.stream().map((column) -> cell(row.path(column))).toList()));
		appendAligned(text, lines, indent);
	}

	static void appendAligned(StringBuilder text, List<List<String>> lines, String indent) {
		int columns = lines.get(0).size();
		int[] widths = new int[columns];
		for (List<String> line : lines) {
			for (int column = 0; column < columns; column++) {
				widths[column] = Math.max(widths[column], line.get(column).length());
			}
		}
		for (List<String> line : lines) {
			text.append(indent);
			for (int column = 0; column < columns - 1; column++) {
				text.append(line.get(column))
					.append(" ".repeat(widths[column] - line.get(column).length()))
					.append(GAP);
			}
			text.append(line.get(columns - 1)).append('\n');
		}
	}

	private static String heading(String name) {
		return name.replaceAll("([a-z])([A-Z])", "$1-$2").toUpperCase(Locale.ROOT);
	}

	static String cell(JsonNode value) {
		if (value.isNull() || value.isMissingNode()) {
			return "";
		}
		if (value.isArray()) {
			List<String> parts = new ArrayList<>();
			for (Iterator<JsonNode> elements = value.elements(); elements.hasNext();) {
				parts.add(cell(elements.next()));
			}
			return String.join(", ", parts);
		}
		if (value.isObject()) {
			List<String> parts = new ArrayList<>();
			value.fields().forEachRemaining((member) -> parts.add(member.getKey() + "=" + cell(member.getValue())));
			return String.join(" ", parts);
		}
		return value.asText();
	}

}
