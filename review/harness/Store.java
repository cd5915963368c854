import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * Stand-in for the platform's store: tables of rows, atomic transactions in one part, and
 * a feed of changes. A part executes its transactions one after another.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int ANSWER_MILLIS = 4;

	private static final int TRANSACTION_MILLIS = 5;

	private static final int PACKET_BYTES = 8_192;

	private static final int HANG_MILLIS = 20_000;

	private record Key(String table, String part, String key) {
	}

	private record Row(String value, long version) {
	}

	private record Change(Key key, Row row) {
	}

	/**
	 * A transaction that was applied under a condition.
	 *
	 * @param caller the process
	 * @param tables the tables of the rows that it wrote
	 * @param writes the number of rows
	 */
	record Conditional(String caller, java.util.Set<String> tables, int writes) {
	}

	private final Map<String, TreeMap<String, Row>> rows = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private final Map<String, Object> partLocks = new ConcurrentHashMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	private final Map<String, String> callers = new ConcurrentHashMap<>();

	private final long startNanos = System.nanoTime();

	private long version = 10;

	/** Factor by which the store is slow. */
	volatile double slowFactor = 1;

	/** Processes whose calls are neither carried out nor answered. */
	private final java.util.Set<String> silentFor = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> silences = new ConcurrentHashMap<>();

	/** Speed at which answers reach a process, in bytes a second. */
	volatile double linkBytesPerSecond = 1_000e6 / 8;

	private final Map<String, Link> links = new ConcurrentHashMap<>();

	/** Receives each transaction under a condition after its answer was sent. */
	volatile Consumer<Conditional> afterConditional = (conditional) -> {
	};

	/**
	 * Listens for the calls of one process on an address of its own, which tells the
	 * processes apart.
	 */
	void listen(String caller, InetSocketAddress address) throws IOException {
		HttpServer server = HttpServer.create(address, 500);
		server.setExecutor(Executors.newCachedThreadPool());
		server.createContext("/", this::handle);
		this.callers.put(address.getAddress().getHostAddress(), caller);
		this.servers.add(server);
		server.start();
	}

	void stop() {
		this.servers.forEach((server) -> server.stop(0));
	}

	/** Leaves the calls of a process without an answer, those that wait included. */
	void silence(String caller, boolean silent) {
		if (silent) {
			this.silences.merge(caller, 1, Integer::sum);
			this.silentFor.add(caller);
		}
		else {
			this.silentFor.remove(caller);
		}
	}

	// The connection stays open until its caller gives up.
	private void hang() throws InterruptedException {
		Thread.sleep(HANG_MILLIS);
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			String caller = this.callers.get(exchange.getLocalAddress().getAddress().getHostAddress());
			if (this.silentFor.contains(caller)) {
				hang();
				return;
			}
			int silences = this.silences.getOrDefault(caller, 0);
			switch (exchange.getRequestURI().getPath()) {
				case "/v1/rows-tx" -> transaction(exchange, JSON.readTree(body), caller, silences);
				case "/v1/rows-get" -> get(exchange, query(exchange), silences);
				case "/v1/rows-feed" -> feed(exchange, query(exchange), silences);
				default -> send(exchange, 404, JSON.createObjectNode());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		String text = exchange.getRequestURI().getRawQuery();
		for (String pair : (text == null ? "" : text).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				values.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	private void transaction(HttpExchange exchange, JsonNode body, String caller, int silences)
			throws IOException, InterruptedException {
		String part = "";
		for (String list : List.of("precondition", "writes", "remove")) {
			for (JsonNode row : body.path(list)) {
				part = row.path("part").asText();
			}
		}
		ObjectNode answer;
		synchronized (this.partLocks.computeIfAbsent(part, (name) -> new Object())) {
			Thread.sleep((long) (TRANSACTION_MILLIS * this.slowFactor));
			answer = commit(body);
		}
		Thread.sleep((long) (ANSWER_MILLIS * this.slowFactor));
		boolean applied = answer.has("schema_version");
		sendOverLink(exchange, applied ? 200 : 412, answer, silences);
		if (applied && !body.path("precondition").isEmpty()) {
			java.util.Set<String> tables = new java.util.HashSet<>();
			body.path("writes").forEach((row) -> tables.add(row.path("table").asText()));
			this.afterConditional.accept(new Conditional(caller, tables, body.path("writes").size()));
		}
	}

	private synchronized ObjectNode commit(JsonNode body) {
		ObjectNode answer = JSON.createObjectNode();
		boolean holds = true;
		for (JsonNode condition : body.path("precondition")) {
			Row row = table(condition.path("table").asText(), condition.path("part").asText())
				.get(condition.path("key").asText());
			holds &= condition.path("schema_version").asLong() == (row == null ? 0 : row.version);
		}
		if (!holds) {
			ArrayNode current = answer.putArray("rows");
			for (JsonNode condition : body.path("precondition")) {
				Key key = key(condition);
				Row row = table(key.table, key.part).get(key.key);
				if (row != null) {
					write(current.addObject(), key, row);
				}
			}
			return answer;
		}
		this.version++;
		for (JsonNode write : body.path("writes")) {
			put(key(write), new Row(write.path("value").asText(), this.version));
		}
		for (JsonNode removal : body.path("remove")) {
			put(key(removal), null);
		}
		notifyAll();
		return answer.put("schema_version", this.version).put("now_ms", nowMillis());
	}

	private static Key key(JsonNode row) {
		return new Key(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
	}

	private TreeMap<String, Row> table(String table, String part) {
		return this.rows.computeIfAbsent(table + '\n' + part, (name) -> new TreeMap<>());
	}

	private void put(Key key, Row row) {
		TreeMap<String, Row> table = table(key.table, key.part);
		if (row == null) {
			if (table.remove(key.key) != null) {
				this.history.add(new Change(key, new Row(null, this.version)));
			}
			return;
		}
		table.put(key.key, row);
		this.history.add(new Change(key, row));
	}

	/** Writes a row as the operator; an empty value removes it. */
	synchronized void writeOperatorRow(String key, String value) {
		this.version++;
		Key operatorKey = new Key("op", "", key);
		put(operatorKey, value.isEmpty() ? null
				: new Row(Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), this.version));
		notifyAll();
	}

	private long nowMillis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	private static void write(ObjectNode node, Key key, Row row) {
		node.put("table", key.table).put("part", key.part).put("key", key.key).put("schema_version", row.version);
		if (row.value == null) {
			node.put("deleted", true);
		}
		else {
			node.put("value", row.value);
		}
	}

	private void get(HttpExchange exchange, Map<String, String> query, int silences)
			throws IOException, InterruptedException {
		ObjectNode answer = JSON.createObjectNode();
		synchronized (this) {
			ArrayNode list = answer.putArray("rows");
			String table = query.get("table");
			String part = query.getOrDefault("part", "");
			int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
			String target = query.getOrDefault("target", "");
			boolean more = false;
			for (Map.Entry<String, Row> entry : table(table, part).tailMap(query.getOrDefault("from", ""), true)
				.entrySet()) {
				if (!target.isEmpty() && entry.getKey().compareTo(target) >= 0) {
					break;
				}
				if (list.size() >= limit) {
					more = true;
					break;
				}
				write(list.addObject(), new Key(table, part, entry.getKey()), entry.getValue());
			}
			answer.put("has_more", more).put("schema_version", this.version).put("now_ms", nowMillis());
		}
		Thread.sleep((long) (ANSWER_MILLIS * this.slowFactor));
		sendOverLink(exchange, 200, answer, silences);
	}

	private void feed(HttpExchange exchange, Map<String, String> query, int silences)
			throws IOException, InterruptedException {
		String table = query.get("table");
		long after = Long.parseLong(query.get("after"));
		long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		ObjectNode answer = JSON.createObjectNode();
		synchronized (this) {
			ArrayNode list = answer.putArray("rows");
			while (true) {
				for (Change change : this.history) {
					if (change.row.version > after && change.key.table.equals(table)) {
						write(list.addObject(), change.key, change.row);
					}
				}
				long rest = (deadline - System.nanoTime()) / 1_000_000;
				if (!list.isEmpty() || rest <= 0) {
					break;
				}
				wait(rest);
			}
			answer.put("schema_version", this.version).put("now_ms", nowMillis());
		}
		Thread.sleep((long) (ANSWER_MILLIS * this.slowFactor));
		sendOverLink(exchange, 200, answer, silences);
	}

	static void send(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = JSON.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	// All connections of a process share its link.
	private void sendOverLink(HttpExchange exchange, int status, JsonNode body, int silencesBefore)
			throws IOException, InterruptedException {
		String caller = this.callers.get(exchange.getLocalAddress().getAddress().getHostAddress());
		if (this.silences.getOrDefault(caller, 0) != silencesBefore) {
			// The connection fell silent while the call waited.
			hang();
			return;
		}
		Link link = this.links.computeIfAbsent(exchange.getLocalAddress().getAddress().getHostAddress(),
				(address) -> new Link());
		byte[] bytes = JSON.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		for (int sent = 0; sent < bytes.length; sent += PACKET_BYTES) {
			int length = Math.min(PACKET_BYTES, bytes.length - sent);
			link.await(length, this.linkBytesPerSecond);
			exchange.getResponseBody().write(bytes, sent, length);
			exchange.getResponseBody().flush();
		}
	}

	private static final class Link {

		private long freeNanos = System.nanoTime();

		void await(int bytes, double bytesPerSecond) throws InterruptedException {
			long wait;
			synchronized (this) {
				this.freeNanos = Math.max(this.freeNanos, System.nanoTime()) + (long) (bytes / bytesPerSecond * 1e9);
				wait = (this.freeNanos - System.nanoTime()) / 1_000_000;
			}
			if (wait > 0) {
				Thread.sleep(wait);
			}
		}

	}

}
