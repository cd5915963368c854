import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for the platform's store: rows, transactions and the feed of changes. */
final class Store implements AutoCloseable {

	private record Row(String table, String part, String key, String value, long version, boolean deleted) {
	}

	private static final long TRANSACTION_MILLIS = 5;

	private static final int MAXIMUM_ROWS = 500;

	private static final int MAXIMUM_ENTRIES = 100;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final List<Row> history = new ArrayList<>();

	private final List<Http.Server> servers = new ArrayList<>();

	private final Map<String, String> relayedAddresses = new ConcurrentHashMap<>();

	private final Set<String> silentFor = ConcurrentHashMap.newKeySet();

	private long version = 1;

	Store(String address) {
		this.servers.add(Http.serve(address, this::handle));
	}

	/** Serves one process at an address of its own, so that the store can be silent for it alone. */
	void serve(String address, String process) {
		this.servers.add(Http.serve(address, (request) -> {
			Http.Answer answer = this.silentFor.contains(process) ? null : handle(request);
			while (this.silentFor.contains(process)) {
				answer = null;
				Thread.sleep(100);
			}
			return answer;
		}));
	}

	/** Makes the store silent for some processes, and serves all others. */
	void silentFor(Collection<String> processes) {
		this.silentFor.clear();
		this.silentFor.addAll(processes);
	}

	/** Names the relay that others are to use instead of the address of an agent. */
	void relay(String address, String relay) {
		this.relayedAddresses.put(address, relay);
	}

	/** Returns the process that last became the leader, as its row names it. */
	synchronized String leader() {
		for (Row row : this.rows.values()) {
			if (row.table.equals("ledger") && row.key.equals("leader")) {
				String[] fields = text(row.value).split(" ");
				return (fields.length > 2) ? fields[2] : "";
			}
		}
		return "";
	}

	private static String text(String value) {
		return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
	}

	private static String base64(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	/** Writes a row as the operator does. The return is the acknowledgement. */
	synchronized void writeOperatorRow(String key, String value) {
		this.version++;
		put(new Row("op", "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
				this.version, false));
		notifyAll();
	}

	private void put(Row row) {
		this.history.add(row);
		if (row.deleted) {
			this.rows.remove(id(row.table, row.part, row.key));
		}
		else {
			this.rows.put(id(row.table, row.part, row.key), row);
		}
	}

	private static String id(String table, String part, String key) {
		return table + '\n' + part + '\n' + key;
	}

	private Http.Answer handle(Http.Request request) throws InterruptedException {
		Map<String, String> query = request.query();
		return switch (request.path()) {
			case "/v1/rows-tx" -> {
				Thread.sleep(TRANSACTION_MILLIS);
				yield transaction(request.json());
			}
			case "/v1/rows-get" -> rows(query);
			case "/v1/rows-parts" -> parts(query);
			case "/v1/rows-feed" -> feed(query);
			default -> new Http.Answer(404, Http.object());
		};
	}

	private synchronized Http.Answer transaction(JsonNode body) {
		int entries = body.path("precondition").size() + body.path("writes").size() + body.path("remove").size();
		if (entries > MAXIMUM_ENTRIES) {
			return new Http.Answer(400, Http.object());
		}
		TreeSet<String> parts = new TreeSet<>();
		boolean holds = true;
		ArrayNode current = Http.object().putArray("rows");
		for (JsonNode condition : body.path("precondition")) {
			parts.add(condition.path("part").asText());
			Row row = this.rows.get(id(condition.path("table").asText(), condition.path("part").asText(),
					condition.path("key").asText()));
			holds &= ((row != null) ? row.version : 0) == condition.path("schema_version").asLong();
			if (row != null) {
				current.add(json(row));
			}
		}
		for (String list : List.of("writes", "remove")) {
			for (JsonNode entry : body.path(list)) {
				parts.add(entry.path("part").asText());
				if (entry.path("table").asText().equals("op") || entry.path("table").asText().equals("servers")) {
					return new Http.Answer(403, Http.object());
				}
			}
		}
		if (parts.size() > 1) {
			return new Http.Answer(400, Http.object());
		}
		if (!holds) {
			ObjectNode answer = stamped();
			answer.set("rows", current);
			return new Http.Answer(412, answer);
		}
		this.version++;
		for (JsonNode write : body.path("writes")) {
			String value = write.path("value").asText();
			if (write.path("key").asText().startsWith("host/")) {
				value = base64(this.relayedAddresses.getOrDefault(text(value), text(value)));
			}
			put(new Row(write.path("table").asText(), write.path("part").asText(), write.path("key").asText(), value,
					this.version, false));
		}
		for (JsonNode removal : body.path("remove")) {
			put(new Row(removal.path("table").asText(), removal.path("part").asText(), removal.path("key").asText(), "",
					this.version, true));
		}
		notifyAll();
		return new Http.Answer(200, stamped());
	}

	private ObjectNode stamped() {
		return Http.object().put("schema_version", this.version).put("now_ms", System.nanoTime() / 1_000_000);
	}

	private static ObjectNode json(Row row) {
		ObjectNode node = Http.object()
			.put("table", row.table)
			.put("part", row.part)
			.put("key", row.key)
			.put("schema_version", row.version);
		return row.deleted ? node.put("deleted", true) : node.put("value", row.value);
	}

	private synchronized Http.Answer rows(Map<String, String> query) {
		String table = query.get("table");
		String part = query.getOrDefault("part", "");
		String end = query.getOrDefault("target", "");
		int limit = Math.min(MAXIMUM_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
		ObjectNode answer = stamped();
		ArrayNode found = answer.putArray("rows");
		boolean more = false;
		for (Row row : this.rows.tailMap(id(table, part, query.getOrDefault("from", ""))).values()) {
			if (!row.table.equals(table) || !row.part.equals(part) || (!end.isEmpty() && row.key.compareTo(end) >= 0)) {
				break;
			}
			if (found.size() == limit) {
				more = true;
				break;
			}
			found.add(json(row));
		}
		return new Http.Answer(200, answer.put("has_more", more));
	}

	private synchronized Http.Answer parts(Map<String, String> query) {
		TreeSet<String> parts = new TreeSet<>();
		for (Row row : this.rows.values()) {
			if (row.table.equals(query.get("table")) && row.part.compareTo(query.getOrDefault("after", "")) > 0) {
				parts.add(row.part);
			}
		}
		ObjectNode answer = stamped();
		ArrayNode found = answer.putArray("parts");
		parts.forEach(found::add);
		return new Http.Answer(200, answer);
	}

	private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			ObjectNode answer = stamped();
			ArrayNode found = answer.putArray("rows");
			for (int index = this.history.size() - 1; index >= 0; index--) {
				Row row = this.history.get(index);
				if (row.version <= after) {
					break;
				}
				if (row.table.equals(query.get("table"))) {
					found.insert(0, json(row));
				}
			}
			long left = (deadline - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return new Http.Answer(200, answer);
			}
			wait(left);
		}
	}

	@Override
	public void close() {
		this.servers.forEach(Http.Server::close);
	}

}
