import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Stand-in for a worker. It runs what it is told to, under a lease on its own clock, and
 * numbers the ends of runs. A run of a job takes as long as the plan of the job says.
 */
final class Worker {

	private static final int MAX_LEASE_MILLIS = 6_000;

	private static final int STOP_MILLIS = 50;

	private static final int FULL_LIST = 500;

	private final String name;

	private final InetSocketAddress address;

	private final InetSocketAddress agent;

	private final String zone;

	private final String kind;

	private final String rack;

	private final History history;

	private final int heartbeatMillis;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final Map<String, Integer> highestEnded = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	/** Makes a checkpoint of the milliseconds of work that are done. */
	private final LongFunction<String> checkpoints;

	private HttpServer server;

	private long born;

	private long bornNanos;

	private long fence;

	private long leaseEndMillis;

	private int lapses;

	private boolean lapsed = true;

	private long lastEnd;

	private long sequence;

	private boolean up;

	private boolean timersStarted;

	private static final class Run {

		String task;

		int number;

		long startNanos = System.nanoTime();

		long resumedMillis;

		long totalMillis;

		boolean lasts;

		boolean checkpointing;

		long stopNanos;

		long workedMillis() {
			return this.resumedMillis + (System.nanoTime() - this.startNanos) / 1_000_000;
		}

	}

	private record End(long number, String task, int run, String how, String checkpoint, long nanos, int lapses) {
	}

	Worker(String name, InetSocketAddress address, InetSocketAddress agent, String zone, String kind,
			String rack, int heartbeatMillis, History history, LongFunction<String> checkpoints) {
		this.name = name;
		this.address = address;
		this.agent = agent;
		this.zone = zone;
		this.kind = kind;
		this.rack = rack;
		this.heartbeatMillis = heartbeatMillis;
		this.history = history;
		this.checkpoints = checkpoints;
	}

	/** Starts an incarnation that knows nothing of the former one. */
	synchronized void start() throws IOException {
		this.runs.clear();
		this.highestEnded.clear();
		this.ends.clear();
		this.born = Math.max(this.born + 1, System.currentTimeMillis());
		this.bornNanos = System.nanoTime();
		this.fence = 0;
		this.leaseEndMillis = 0;
		this.lapsed = true;
		this.lastEnd = 0;
		this.sequence = 0;
		this.server = HttpServer.create(this.address, 100);
		this.server.setExecutor(Executors.newCachedThreadPool());
		this.server.createContext("/", this::handle);
		this.server.start();
		this.up = true;
		this.history.log(this.name + " started, born " + this.born);
		if (!this.timersStarted) {
			this.timersStarted = true;
			this.timer.scheduleWithFixedDelay(this::tick, 5, 5, TimeUnit.MILLISECONDS);
			this.timer.scheduleWithFixedDelay(this::heartbeat, 0, this.heartbeatMillis, TimeUnit.MILLISECONDS);
		}
	}

	void close() {
		this.timer.shutdownNow();
		if (this.up) {
			this.server.stop(0);
		}
	}

	private long clockMillis() {
		return 1_000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
	}

	private synchronized void tick() {
		if (!this.up) {
			return;
		}
		boolean now = clockMillis() > this.leaseEndMillis;
		if (now && !this.lapsed) {
			this.lapses++;
		}
		this.lapsed = now;
		for (Run run : List.copyOf(this.runs.values())) {
			if (run.stopNanos != 0 && System.nanoTime() >= run.stopNanos) {
				end(run, "stopped");
			}
			else if (now) {
				end(run, "lapsed");
			}
			else if (!run.lasts && run.workedMillis() >= run.totalMillis) {
				end(run, "done");
			}
		}
	}

	private void end(Run run, String how) {
		this.runs.remove(run.task);
		this.highestEnded.merge(run.task, run.number, Math::max);
		this.ends.add(new End(++this.lastEnd, run.task, run.number, how, checkpoint(run), System.nanoTime(),
				this.lapses));
		this.history.ended(run.task, run.number, this.name, how);
		notifyAll();
	}

	private String checkpoint(Run run) {
		long saved = run.workedMillis() / 1_000 * 1_000;
		return (run.checkpointing && saved > 0) ? this.checkpoints.apply(saved) : "";
	}

	private void heartbeat() {
		String body;
		synchronized (this) {
			if (!this.up) {
				return;
			}
			ObjectNode node = Store.JSON.createObjectNode();
			node.put("service", "lunchwallet").put("address", Deployment.text(this.address)).put("zone", this.zone);
			node.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
			node.putObject("capacity").put("cpu", 16_000).put("mem_mb", 64_000).put("gpus", 0);
			node.putArray("labels").add(this.kind).add(this.rack);
			node.put("clock_ms", clockMillis()).put("sequence", ++this.sequence).put("born", this.born);
			body = node.toString();
		}
		try {
			HttpURLConnection connection = (HttpURLConnection) new URL(
					"http://" + Deployment.text(this.agent) + "/v1/instances/" + this.name).openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(1_000);
			connection.setRequestMethod("PUT");
			connection.setDoOutput(true);
			connection.setRequestProperty("Content-Type", "application/json");
			connection.getOutputStream().write(body.getBytes());
			connection.getResponseCode();
			connection.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			// The next heartbeat follows.
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
			String expected = exchange.getRequestHeaders().getFirst("X-Crocuspost-Expected-Instance");
			ObjectNode answer = Store.JSON.createObjectNode();
			int status = execute(exchange.getRequestURI().getPath(), body, expected, answer);
			Store.send(exchange, status, answer);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private synchronized int execute(String path, JsonNode body, String expected, ObjectNode answer)
			throws InterruptedException {
		answer.put("clock_ms", clockMillis());
		if (expected != null && !expected.equals(this.name)) {
			return 421;
		}
		long token = body.path("fencing_token").asLong();
		if (token < this.fence) {
			answer.put("reason", "fence");
			return 409;
		}
		this.fence = token;
		long deadline = body.path("deadline_ms").asLong();
		this.leaseEndMillis = Math.max(this.leaseEndMillis, Math.min(deadline, clockMillis() + MAX_LEASE_MILLIS));
		return switch (path) {
			case "/v1/run-start" -> startRun(body, deadline, answer);
			case "/v1/run-stop" -> stopRun(body);
			case "/v1/hold" -> hold(body, answer);
			case "/v1/pace" -> 200;
			default -> 400;
		};
	}

	private int startRun(JsonNode body, long deadline, ObjectNode answer) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		Run current = this.runs.get(task);
		if (current != null && current.number == number) {
			return 200;
		}
		if (number <= this.highestEnded.getOrDefault(task, 0) || current != null) {
			answer.put("reason", "old");
			return 409;
		}
		if (deadline <= clockMillis()) {
			answer.put("reason", "late");
			return 409;
		}
		Plan plan = this.history.plan(task);
		Run run = new Run();
		run.task = task;
		run.number = number;
		run.totalMillis = plan.millis(task);
		run.lasts = plan.lasts();
		run.checkpointing = plan.checkpointing();
		String checkpoint = body.path("checkpoint").asText();
		String digits = checkpoint.replaceAll("[^0-9]", "");
		run.resumedMillis = digits.isEmpty() ? 0 : Long.parseLong(digits);
		this.runs.put(task, run);
		this.history.started(task, number, this.name, body.path("spec").asText());
		return 200;
	}

	private int stopRun(JsonNode body) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		Run run = this.runs.get(task);
		if (run == null || run.number != number) {
			this.highestEnded.merge(task, number, Math::max);
		}
		else if (run.stopNanos == 0) {
			run.stopNanos = System.nanoTime() + STOP_MILLIS * 1_000_000L;
		}
		return 200;
	}

	private int hold(JsonNode body, ObjectNode answer) throws InterruptedException {
		long lastSeen = body.path("last_seen").asLong();
		for (End end : List.copyOf(this.ends)) {
			if (end.number <= lastSeen) {
				this.ends.remove(end);
				this.history.noted(end.task, end.run, this.name, end.lapses == this.lapses);
			}
		}
		long until = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
		HttpServer answering = this.server;
		while (this.ends.isEmpty() && this.up && this.server == answering) {
			long rest = (until - System.nanoTime()) / 1_000_000;
			if (rest <= 0) {
				break;
			}
			wait(rest);
		}
		answer.put("clock_ms", clockMillis()).put("born", this.born);
		ArrayNode running = answer.putArray("running");
		for (Run run : this.runs.values()) {
			running.addArray()
				.add(run.task)
				.add(run.number)
				.add(checkpoint(run))
				.add(run.lasts ? 100 : Math.min(100, 100 * run.workedMillis() / run.totalMillis))
				.add(200);
		}
		ArrayNode finished = answer.putArray("finished");
		for (End end : this.ends.subList(0, Math.min(FULL_LIST, this.ends.size()))) {
			finished.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(end.checkpoint);
		}
		return 200;
	}

}
