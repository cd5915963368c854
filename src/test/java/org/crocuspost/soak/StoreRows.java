package org.crocuspost.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocuspost.json.JsonTrees;

/**
 * Versioned rows of the stand-in for the platform's store, with a history of changes.
 * Safe for use by several threads.
 */
final class StoreRows {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final List<Row> history = new ArrayList<>();

	private long version = 1;

	private long discardedUpToVersion;

	/**
	 * Applies a transaction.
	 * @param body the transaction in the platform's format
	 * @return the new version if the transaction is applied, otherwise the current rows
	 * of its conditions
	 */
	synchronized ObjectNode commit(JsonNode body) {
		ArrayNode current = JsonTrees.object().putArray("rows");
		boolean conditionsHold = true;
		for (JsonNode condition : body.path("precondition")) {
			Row row = this.rows.get(id(condition));
			conditionsHold &= ((row != null) ? row.version : 0) == condition.path("schema_version").asLong();
			if (row != null) {
				current.add(row.json());
			}
		}
		ObjectNode answer = JsonTrees.object();
		if (!conditionsHold) {
			answer.set("rows", current);
			return answer;
		}
		this.version++;
		for (JsonNode write : body.path("writes")) {
			change(new Row(write.path("table").asText(), write.path("part").asText(), write.path("key").asText(),
					write.path("value").asText(), this.version, false));
		}
		for (JsonNode removal : body.path("remove")) {
			change(new Row(removal.path("table").asText(), removal.path("part").asText(), removal.path("key").asText(),
					"", this.version, true));
		}
		notifyAll();
		return answer.put("schema_version", this.version);
	}

	private void change(Row row) {
		this.history.add(row);
		if (row.deleted) {
			this.rows.remove(row.id());
		}
		else {
			this.rows.put(row.id(), row);
		}
	}

	private static String id(JsonNode row) {
		return row.path("table").asText() + '\n' + row.path("part").asText() + '\n' + row.path("key").asText();
	}

	synchronized ObjectNode range(String table, String part, String from, String end, int limit) {
		ObjectNode answer = JsonTrees.object().put("schema_version", this.version);
		ArrayNode found = answer.putArray("rows");
		boolean more = false;
		for (Row row : this.rows.tailMap(table + '\n' + part + '\n' + from).values()) {
			if (!row.table.equals(table) || !row.part.equals(part) || (!end.isEmpty() && row.key.compareTo(end) >= 0)) {
				break;
			}
			if (found.size() == limit) {
				more = true;
				break;
			}
			found.add(row.json());
		}
		return answer.put("has_more", more);
	}

	/**
	 * Returns the changes of a table after a version, oldest first.
	 * @param table the table
	 * @param after the version after which changes are returned
	 * @return the changes, or nothing if the history after that version is no longer held
	 */
	synchronized java.util.Optional<ObjectNode> changes(String table, long after) {
		if (after < this.discardedUpToVersion) {
			return java.util.Optional.empty();
		}
		ObjectNode answer = JsonTrees.object().put("schema_version", this.version);
		ArrayNode found = answer.putArray("rows");
		for (int index = this.history.size() - 1; index >= 0 && this.history.get(index).version > after; index--) {
			if (this.history.get(index).table.equals(table)) {
				found.insert(0, this.history.get(index).json());
			}
		}
		return java.util.Optional.of(answer);
	}

	synchronized void discardHistory() {
		this.discardedUpToVersion = this.version;
		this.history.clear();
	}

	/**
	 * One version of a row. A deleted row has an empty value.
	 */
	private record Row(String table, String part, String key, String value, long version, boolean deleted) {

		private String id() {
			return this.table + '\n' + this.part + '\n' + this.key;
		}

		private ObjectNode json() {
			ObjectNode node = JsonTrees.object()
				.put("table", this.table)
				.put("part", this.part)
				.put("key", this.key)
				.put("schema_version", this.version);
			return this.deleted ? node.put("deleted", true) : node.put("value", this.value);
		}

	}

}
