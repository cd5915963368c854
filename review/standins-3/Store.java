import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for the platform's metadata store: rows, transactions and the feed of changes.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private record Row(String table, String part, String key, String value, long version, boolean deleted) {

		String id() {
			return this.table + '\n' + this.part + '\n' + this.key;
		}

		ObjectNode json() {
			ObjectNode node = JSON.createObjectNode()
				.put("table", this.table)
				.put("part", this.part)
				.put("key", this.key)
				.put("schema_version", this.version);
			return this.deleted ? node.put("deleted", true) : node.put("value", this.value);
		}

	}

	private static final long LATENCY_MILLIS = 5;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final List<Row> history = new ArrayList<>();

	private long version = 1;

	private final HttpServer server;

	Store(InetSocketAddress address) throws Exception {
		this.server = HttpServer.create(address, 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	/**
	 * Writes a row as the operator does; without a value, the row is removed.
	 */
	synchronized void operator(String key, String value) {
		ObjectNode body = JSON.createObjectNode();
		ObjectNode row = body.putArray((value == null) ? "remove" : "writes").addObject();
		row.put("table", "op").put("part", "").put("key", key);
		if (value != null) {
			row.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
		}
		commit(body);
	}

	private void handle(HttpExchange exchange) {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			Thread.sleep(LATENCY_MILLIS);
			String path = exchange.getRequestURI().getPath();
			if (path.equals("/v1/rows-tx")) {
				ObjectNode answer = commit(JSON.readTree(body));
				send(exchange, answer.has("schema_version") ? 200 : 412, answer);
			}
			else if (path.equals("/v1/rows-get")) {
				send(exchange, 200, range(query));
			}
			else if (path.equals("/v1/rows-feed")) {
				send(exchange, 200, feed(query));
			}
			else {
				send(exchange, 404, JSON.createObjectNode());
			}
		}
		catch (Exception ex) {
			exchange.close();
		}
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		if (raw != null) {
			for (String pair : raw.split("&")) {
				int equals = pair.indexOf('=');
				query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	private static void send(HttpExchange exchange, int status, ObjectNode answer) throws Exception {
		answer.put("now_ms", System.nanoTime() / 1_000_000);
		byte[] bytes = JSON.writeValueAsBytes(answer);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized ObjectNode commit(JsonNode body) {
		ObjectNode answer = JSON.createObjectNode();
		ArrayNode current = JSON.createArrayNode();
		boolean holds = true;
		for (JsonNode condition : body.path("precondition")) {
			Row row = this.rows.get(id(condition));
			holds &= ((row == null) ? 0 : row.version) == condition.path("schema_version").asLong();
			if (row != null) {
				current.add(row.json());
			}
		}
		if (!holds) {
			answer.set("rows", current);
			return answer;
		}
		this.version++;
		for (JsonNode write : body.path("writes")) {
			change(write, write.path("value").asText(), false);
		}
		for (JsonNode removal : body.path("remove")) {
			change(removal, "", true);
		}
		notifyAll();
		return answer.put("schema_version", this.version);
	}

	private void change(JsonNode node, String value, boolean deleted) {
		Row row = new Row(node.path("table").asText(), node.path("part").asText(), node.path("key").asText(), value,
				this.version, deleted);
		this.history.add(row);
		if (deleted) {
			this.rows.remove(row.id());
		}
		else {
			this.rows.put(row.id(), row);
		}
	}

	private static String id(JsonNode row) {
		return row.path("table").asText() + '\n' + row.path("part").asText() + '\n' + row.path("key").asText();
	}

	private synchronized ObjectNode range(Map<String, String> query) {
		ObjectNode answer = JSON.createObjectNode().put("schema_version", this.version);
		ArrayNode found = answer.putArray("rows");
		String prefix = query.get("table") + '\n' + query.getOrDefault("part", "") + '\n';
		String end = query.getOrDefault("target", "");
		int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
		boolean more = false;
		for (Row row : this.rows.tailMap(prefix + query.getOrDefault("from", "")).values()) {
			if (!row.id().startsWith(prefix) || (!end.isEmpty() && row.key.compareTo(end) >= 0)) {
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

	private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			ObjectNode answer = JSON.createObjectNode().put("schema_version", this.version);
			ArrayNode found = answer.putArray("rows");
			for (int index = this.history.size() - 1; index >= 0 && this.history.get(index).version > after; index--) {
				if (this.history.get(index).table.equals(query.get("table"))) {
					found.insert(0, this.history.get(index).json());
				}
			}
			long left = (until - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return answer;
			}
			wait(Math.max(1, left));
		}
	}

}
