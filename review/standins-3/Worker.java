import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for an application worker. It keeps its lists, its fencing token and its lease
 * by its own steady clock, and announces itself to the agent of its machine.
 */
final class Worker {

	/** What the worker needs to know of a task to simulate it. */
	record Plan(int members, long workMillis, boolean gang, boolean checkpointing, int load) {
	}

	private final class Run {

		final String task;

		final int number;

		final Plan plan;

		final long savedAtStart;

		final long startedNanos = System.nanoTime();

		long workNanos;

		long stopNanos;

		boolean fails;

		Run(String task, int number, Plan plan, long savedAtStart) {
			this.task = task;
			this.number = number;
			this.plan = plan;
			this.savedAtStart = savedAtStart;
		}

		long work() {
			return (this.workNanos == 0) ? this.savedAtStart
					: Math.min(this.plan.workMillis, this.savedAtStart + (System.nanoTime() - this.workNanos) / 1_000_000);
		}

		String saved() {
			long saved = this.plan.checkpointing ? work() / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS : 0;
			return (saved == 0) ? "" : String.format("%08x%s", saved, this.task.substring(0, 8));
		}

		String gangKey() {
			return this.task.substring(0, this.task.lastIndexOf('.')) + "#" + this.number;
		}

	}

	private record End(long number, String task, int run, String how, String saved) {
	}

	static final long CHECKPOINT_MILLIS = 1_000;

	private static final long MAXIMUM_LEASE_MILLIS = 10_000;

	private static final long STOP_MILLIS = 100;

	private static final long GANG_TIMEOUT_MILLIS = 3_000;

	private static final long FAIL_AFTER_MILLIS = 300;

	/** Members at work of all gangs, over all workers. */
	private static final Map<String, Map<String, Run>> GANGS = new HashMap<>();

	private static final Object LOCK = new Object();

	private final Deployment deployment;

	final String name;

	private final String zone;

	private final String rack;

	private final InetSocketAddress address;

	private final InetSocketAddress agent;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final Map<String, Integer> latest = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	private String id;

	private long born;

	private long bornNanos;

	private long fence;

	private long leaseMillis;

	private long lastEnd;

	private long sequence;

	private boolean down = true;

	private boolean faulty;

	/** Whether the agent has called the worker. */
	volatile boolean held;

	Worker(Deployment deployment, String name, String zone, String rack, InetSocketAddress address,
			InetSocketAddress agent) throws Exception {
		this.deployment = deployment;
		this.name = name;
		this.zone = zone;
		this.rack = rack;
		this.address = address;
		this.agent = agent;
		HttpServer server = HttpServer.create(address, 50);
		server.setExecutor(Executors.newCachedThreadPool(Worker::daemon));
		server.createContext("/", this::handle);
		server.start();
		up();
		daemon(this::ticks).start();
		daemon(this::heartbeats).start();
	}

	private static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	/** Starts a new life of the worker under a new identity. */
	void up() {
		synchronized (LOCK) {
			this.born = System.currentTimeMillis();
			this.bornNanos = System.nanoTime();
			this.id = "i-" + this.name + "-" + (this.born % 1_000_000);
			this.fence = 0;
			this.leaseMillis = 0;
			this.lastEnd = 0;
			this.sequence = 0;
			this.down = false;
			this.deployment.record("worker " + this.name + " up as " + this.id);
		}
	}

	/** Crashes the worker: everything that it knew is gone. */
	void crash() {
		synchronized (LOCK) {
			this.down = true;
			this.deployment.record("worker " + this.name + " crashed with " + this.runs.size() + " runs");
			for (Run run : List.copyOf(this.runs.values())) {
				this.runs.remove(run.task);
				this.deployment.record("end " + run.task + " run " + run.number + " on " + this.name + " crashed");
				breakGang(run);
			}
			this.latest.clear();
			this.ends.clear();
		}
	}

	int runningCount() {
		synchronized (LOCK) {
			return this.runs.size();
		}
	}

	int runningCount(String job) {
		synchronized (LOCK) {
			return (int) this.runs.keySet().stream().filter((task) -> task.startsWith(job)).count();
		}
	}

	/** Makes the worker fail all that it starts. */
	void faulty(boolean value) {
		synchronized (LOCK) {
			this.faulty = value;
			this.deployment.record("worker " + this.name + (value ? " fails what it starts" : " is sound again"));
		}
	}

	private long clock() {
		return 1_000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
	}

	private void ticks() {
		while (true) {
			pause(10);
			synchronized (LOCK) {
				for (Run run : List.copyOf(this.runs.values())) {
					tick(run);
				}
			}
		}
	}

	private void tick(Run run) {
		if (!this.runs.containsValue(run)) {
			return;
		}
		long sinceStart = (System.nanoTime() - run.startedNanos) / 1_000_000;
		if (run.stopNanos > 0 && System.nanoTime() >= run.stopNanos) {
			end(run, "stopped");
		}
		else if (clock() > this.leaseMillis) {
			end(run, "lapsed");
		}
		else if (run.workNanos == 0) {
			if (run.plan.gang && sinceStart > GANG_TIMEOUT_MILLIS) {
				end(run, "alone");
			}
		}
		else if (run.fails && run.work() - run.savedAtStart >= FAIL_AFTER_MILLIS) {
			end(run, "failed");
		}
		else if (run.work() >= run.plan.workMillis) {
			end(run, "done");
		}
	}

	private void end(Run run, String how) {
		if (this.runs.remove(run.task) == null) {
			return;
		}
		this.lastEnd++;
		this.ends.add(new End(this.lastEnd, run.task, run.number, how, run.saved()));
		this.deployment.record("end " + run.task + " run " + run.number + " on " + this.name + " " + how + " saved "
				+ run.saved());
		if (run.plan.gang) {
			// The members of a gang end done together; any other end breaks the rest.
			Map<String, Run> members = GANGS.getOrDefault(run.gangKey(), Map.of());
			boolean together = how.equals("done");
			this.deployment.workers.forEach((worker) -> List.copyOf(worker.runs.values())
				.stream()
				.filter((other) -> members.get(other.task) == other)
				.forEach((other) -> {
					if (together) {
						worker.end(other, "done");
					}
				}));
			if (!together && run.workNanos != 0) {
				breakGang(run);
			}
		}
	}

	private void breakGang(Run run) {
		if (!run.plan.gang) {
			return;
		}
		Map<String, Run> members = GANGS.remove(run.gangKey());
		if (members != null && run.workNanos != 0) {
			this.deployment.workers.forEach((worker) -> List.copyOf(worker.runs.values())
				.stream()
				.filter((other) -> other != run && members.get(other.task) == other)
				.forEach((other) -> worker.end(other, "broken")));
		}
	}

	private void heartbeats() {
		while (true) {
			String body;
			String path;
			synchronized (LOCK) {
				this.sequence++;
				path = "/v1/instances/" + this.id;
				ObjectNode node = Store.JSON.createObjectNode()
					.put("service", Deployment.SERVICE)
					.put("address", this.address.getHostString() + ":" + this.address.getPort())
					.put("zone", this.zone)
					.put("version", "v1")
					.put("slots", 8)
					.put("state", "ready")
					.put("cold_remaining_ms", 0)
					.put("clock_ms", clock())
					.put("sequence", this.sequence)
					.put("born", this.born);
				node.putObject("capacity").put("cpu", 16_000).put("mem_mb", 62_500).put("gpus", 0);
				node.putArray("labels").add("a").add(this.rack);
				body = this.down ? null : node.toString();
			}
			if (body != null) {
				try {
					Http.call(this.agent, "agent", "PUT", path, body, 1_000);
				}
				catch (Exception ex) {
					// The next heartbeat follows.
				}
			}
			pause(Deployment.HEARTBEAT_MILLIS);
		}
	}

	private void handle(HttpExchange exchange) {
		try {
			JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
			String path = exchange.getRequestURI().getPath();
			String expected = exchange.getRequestHeaders().getFirst("X-Crocuspost-Expected-Instance");
			long until = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
			ObjectNode answer = Store.JSON.createObjectNode();
			int status;
			long receivedBy = this.born;
			while (true) {
				synchronized (LOCK) {
					if (this.down || this.born != receivedBy) {
						exchange.close();
						return;
					}
					answer.removeAll();
					status = execute(path, body, expected, answer);
				}
				if (!path.equals("/v1/hold") || status != 200 || !answer.path("finished").isEmpty()
						|| System.nanoTime() >= until) {
					break;
				}
				pause(5);
			}
			byte[] bytes = Store.JSON.writeValueAsBytes(answer);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
			exchange.close();
		}
		catch (Exception ex) {
			exchange.close();
		}
	}

	private int execute(String path, JsonNode body, String expected, ObjectNode answer) {
		answer.put("clock_ms", clock()).put("born", this.born);
		if (expected != null && !expected.equals(this.id)) {
			return 421;
		}
		long token = body.path("fencing_token").asLong();
		if (token < this.fence) {
			answer.put("reason", "fence");
			return 409;
		}
		this.fence = token;
		if (body.has("deadline_ms")) {
			this.leaseMillis = Math.max(this.leaseMillis,
					Math.min(body.path("deadline_ms").asLong(), clock() + MAXIMUM_LEASE_MILLIS));
		}
		return switch (path) {
			case "/v1/run-start" -> start(body, answer);
			case "/v1/run-stop" -> stop(body);
			case "/v1/hold" -> hold(body, answer);
			case "/v1/pace" -> 200;
			default -> 404;
		};
	}

	private int start(JsonNode body, ObjectNode answer) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		Run present = this.runs.get(task);
		if (present != null && present.number == number) {
			return 200;
		}
		if (number <= this.latest.getOrDefault(task, 0)) {
			answer.put("reason", "old");
			return 409;
		}
		if (body.path("deadline_ms").asLong() <= clock()) {
			answer.put("reason", "late");
			return 409;
		}
		String checkpoint = body.path("checkpoint").asText();
		this.latest.put(task, number);
		Plan plan = this.deployment.plan(task);
		long saved = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
		Run run = new Run(task, number, plan, saved);
		run.fails = this.faulty;
		this.runs.put(task, run);
		this.deployment.started(task, number, this.name, checkpoint);
		if (!plan.gang) {
			run.workNanos = System.nanoTime();
		}
		else {
			Map<String, Run> members = GANGS.computeIfAbsent(run.gangKey(), (key) -> new HashMap<>());
			members.put(task, run);
			if (members.size() == plan.members) {
				members.values().forEach((member) -> member.workNanos = System.nanoTime());
			}
		}
		return 200;
	}

	private int stop(JsonNode body) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		this.latest.merge(task, number, Math::max);
		Run run = this.runs.get(task);
		if (run != null && run.number <= number && run.stopNanos == 0) {
			run.stopNanos = System.nanoTime() + STOP_MILLIS * 1_000_000;
			this.deployment.record("stop " + task + " run " + number + " on " + this.name);
		}
		return 200;
	}

	private int hold(JsonNode body, ObjectNode answer) {
		this.held = true;
		long lastSeen = body.path("last_seen").asLong();
		this.ends.stream()
			.filter((end) -> end.number <= lastSeen)
			.forEach((end) -> this.deployment.record("noted " + end.task + " run " + end.run + " " + end.how));
		this.ends.removeIf((end) -> end.number <= lastSeen);
		ArrayNode running = answer.putArray("running");
		for (Run run : this.runs.values()) {
			running.addArray()
				.add(run.task)
				.add(run.number)
				.add(run.saved())
				.add(100 * run.work() / run.plan.workMillis)
				.add(run.plan.load);
		}
		ArrayNode finished = answer.putArray("finished");
		this.ends.stream()
			.limit(500)
			.forEach((end) -> finished.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(end.saved));
		return 200;
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
