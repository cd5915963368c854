package org.crocuspost.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.crocuspost.json.JsonTrees;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.util.MultiValueMap;

/**
 * Stand-in for the platform's store over HTTP that can simulate faults.
 */
public final class StoreServer implements AutoCloseable {

	private static final int OK = 200;

	private static final int CONDITION_FAILED = 412;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	/**
	 * Interval at which a waiting feed request polls for changes.
	 */
	private static final int POLL_MILLIS = 5;

	private static final int LATENCY_MILLIS = 5;

	private static final int SLOW_LATENCY_MILLIS = 500;

	private final StoreRows rows = new StoreRows();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final UnaryOperator<String> externalAddresses;

	private final RatpackServer server;

	private volatile Fault fault = Fault.NONE;

	/**
	 * Fault that the store simulates.
	 */
	enum Fault {

		/**
		 * No fault.
		 */
		NONE,

		/**
		 * Closes connections without an answer and executes nothing.
		 */
		DOWN,

		/**
		 * Rejects every call with status 503.
		 */
		REFUSING,

		/**
		 * Delays every call by half a second.
		 */
		SLOW,

		/**
		 * Applies all writes, but closes the connection without an answer for a third of
		 * them.
		 */
		ANSWERS_LOST

	}

	/**
	 * Starts the server.
	 * @param address the address to listen on
	 * @param hostAddresses maps the address of an agent to the address under which other
	 * processes reach it, as a network between them would
	 */
	public StoreServer(InetSocketAddress address, UnaryOperator<String> hostAddresses) {
		this.externalAddresses = hostAddresses;
		this.server = HttpServers.start(address, this::handle);
	}

	void setFault(Fault value) {
		this.fault = value;
	}

	void discardHistory() {
		this.rows.discardHistory();
	}

	/**
	 * Writes or removes a row of the operator's table.
	 * @param key the key
	 * @param value the value; if empty, the row is removed
	 */
	public void writeOperatorRow(String key, String value) {
		ObjectNode body = JsonTrees.object();
		String operation = value.isEmpty() ? "remove" : "writes";
		body.putArray(operation)
			.addObject()
			.put("table", "op")
			.put("part", "")
			.put("key", key)
			.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
		this.rows.commit(body);
	}

	private void handle(Context context) {
		Fault currentFault = this.fault;
		if (currentFault == Fault.DOWN) {
			context.getDirectChannelAccess().getChannel().close();
			return;
		}
		if (currentFault == Fault.REFUSING) {
			context.getResponse().status(UNAVAILABLE).send("{}");
			return;
		}
		int latencyMillis = (currentFault == Fault.SLOW) ? SLOW_LATENCY_MILLIS : LATENCY_MILLIS;
		context.getRequest()
			.getBody()
			.flatMap((body) -> Promise.<byte[]>async((downstream) -> this.timer
				.schedule(() -> downstream.success(body.getBytes()), latencyMillis, TimeUnit.MILLISECONDS)))
			.then((body) -> route(context, body, currentFault));
	}

	private void route(Context context, byte[] body, Fault currentFault) throws IOException {
		MultiValueMap<String, String> query = context.getRequest().getQueryParams();
		switch (context.getRequest().getPath()) {
			case "v1/rows-tx" -> commit(context, JsonTrees.read(body), currentFault);
			case "v1/rows-get" -> send(context, OK,
					this.rows.range(query.get("table"), query.getOrDefault("part", ""), query.getOrDefault("from", ""),
							query.getOrDefault("target", ""), Integer.parseInt(query.getOrDefault("limit", "500"))));
			case "v1/rows-feed" -> {
				long deadlineNanos = System.nanoTime()
						+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
				Promise
					.<Optional<ObjectNode>>async((downstream) -> awaitChanges(query.get("table"),
							Long.parseLong(query.get("after")), deadlineNanos, downstream::success))
					.then((changes) -> send(context, changes.isPresent() ? OK : GONE,
							changes.orElseGet(JsonTrees::object)));
			}
			default -> context.getResponse().status(404).send("{}");
		}
	}

	private void awaitChanges(String table, long after, long deadlineNanos,
			java.util.function.Consumer<Optional<ObjectNode>> receiver) {
		Optional<ObjectNode> changes = this.rows.changes(table, after);
		if (changes.isEmpty() || !changes.get().path("rows").isEmpty() || System.nanoTime() >= deadlineNanos) {
			receiver.accept(changes);
			return;
		}
		this.timer.schedule(() -> awaitChanges(table, after, deadlineNanos, receiver), POLL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void commit(Context context, JsonNode body, Fault currentFault) {
		for (JsonNode write : body.path("writes")) {
			if (write.path("key").asText().startsWith("host/")) {
				replaceAddress((ObjectNode) write);
			}
		}
		ObjectNode answer = this.rows.commit(body);
		if (currentFault == Fault.ANSWERS_LOST && ThreadLocalRandom.current().nextInt(3) == 0) {
			context.getDirectChannelAccess().getChannel().close();
			return;
		}
		send(context, answer.has("schema_version") ? OK : CONDITION_FAILED, answer);
	}

	private void replaceAddress(ObjectNode write) {
		String address = new String(Base64.getDecoder().decode(write.path("value").asText()), StandardCharsets.UTF_8);
		write.put("value", Base64.getEncoder()
			.encodeToString(this.externalAddresses.apply(address).getBytes(StandardCharsets.UTF_8)));
	}

	private static void send(Context context, int status, ObjectNode body) {
		body.put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		context.getResponse().status(status).send("application/json", JsonTrees.bytes(body));
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		HttpServers.stop(List.of(this.server));
	}

}
