import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Stand-in for a worker. All workers of a deployment share one lock, since gangs span workers. */
final class Worker implements AutoCloseable {

	static final int HEARTBEAT_MILLIS = 1_100;

	static final int GANG_TIMEOUT_MILLIS = 3_000;

	private static final int TICK_MILLIS = 10;

	private static final int STOP_MILLIS = 100;

	private static final int CHECKPOINT_MILLIS = 1_000;

	private static final int RESTORE_MILLIS = 250;

	private static final int MAXIMUM_LISTED_ENDS = 500;

	static final int CAPACITY = 16_000;

	/** Tail latency of each task that serves. */
	static volatile int tailMillis = 5;

	private static final Object LOCK = new Object();

	/** Runs of gangs on all workers, by step and number of the run. */
	private static final Map<String, List<Run>> GANGS = new HashMap<>();

	private final String name;

	private final String address;

	private final String agent;

	private final String zone;

	private final String service;

	private final List<String> labels;

	private final long maximumHoldMillis;

	private final Plans plans;

	private final Recorder recorder;

	private final Thread ticker;

	private volatile boolean closed;

	private volatile Http.Server server;

	private String id;

	private long born;

	private long startNanos;

	private long clockOffset;

	private long sequence;

	private long fence;

	private long leaseEnd;

	private long lastEnd;

	private int lives;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private final Map<String, Integer> newestRuns = new HashMap<>();

	private final List<ListedEnd> finished = new ArrayList<>();

	private volatile double lateShare;

	private Random lateness = new Random(0);

	/** While set, each run that works here fails after this time (a worker that fails what it starts). */
	private volatile int failsAfterMillis;

	private record ListedEnd(long number, String task, int run, String how, String saved) {
	}

	private final class Run {

		private final String task;

		private final int number;

		private final Plans.Step step;

		private final String gang;

		private final long resumedMillis;

		private final long beganNanos = System.nanoTime();

		private long workingNanos;

		private long stopNanos;

		private String saved;

		private Run(String task, int number, String checkpoint) {
			this.task = task;
			this.number = number;
			this.step = Worker.this.plans.step(task);
			this.gang = this.step.gang() ? task.substring(0, task.lastIndexOf('.')) + "/" + number : "";
			this.resumedMillis = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
			this.saved = checkpoint;
		}

		private Worker worker() {
			return Worker.this;
		}

		private long workedMillis(long now) {
			long restore = (this.resumedMillis > 0) ? RESTORE_MILLIS : 0;
			return (this.workingNanos == 0) ? 0 : Math.max(0, (now - this.workingNanos) / 1_000_000 - restore);
		}

		private long progressMillis(long now) {
			return Math.min(this.step.workMillis(), this.resumedMillis + workedMillis(now));
		}

		private void save(long now) {
			long produced = this.resumedMillis + workedMillis(now) / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS;
			if (this.step.checkpointing() && produced > this.resumedMillis) {
				this.saved = checkpoint(Math.min(produced, this.step.workMillis()));
			}
		}

		private String checkpoint(long progress) {
			return String.format("%08x%s", progress, this.task.substring(4, 12));
		}

	}

	Worker(String name, String address, String agent, String zone, String service, List<String> labels,
			long maximumHoldMillis, Plans plans, Recorder recorder) {
		this.name = name;
		this.address = address;
		this.agent = agent;
		this.zone = zone;
		this.service = service;
		this.labels = labels;
		this.maximumHoldMillis = maximumHoldMillis;
		this.plans = plans;
		this.recorder = recorder;
		start();
		this.ticker = new Thread(this::tick);
		this.ticker.setDaemon(true);
		this.ticker.start();
	}

	String name() {
		return this.name;
	}

	String zone() {
		return this.zone;
	}

	/** Starts the next life of the worker under a new id. It knows nothing of the one before. */
	void start() {
		start("i-" + this.name + "-" + (this.lives + 1));
	}

	/** Starts the next life of the worker under the id that it had. */
	void startAgain() {
		start(this.id);
	}

	private void start(String nextId) {
		synchronized (LOCK) {
			this.lives++;
			this.id = nextId;
			this.born = System.currentTimeMillis();
			this.startNanos = System.nanoTime();
			this.clockOffset = 1_000;
			this.sequence = 0;
			this.fence = 0;
			this.leaseEnd = 0;
			this.lastEnd = 0;
			this.newestRuns.clear();
			this.finished.clear();
			this.server = Http.serve(this.address, this::handle);
			this.recorder.line("worker " + this.name + " is up as " + this.id);
		}
	}

	/** Crashes the worker. Everything that runs on it ends. */
	void crash() {
		synchronized (LOCK) {
			this.recorder.line("worker " + this.name + " crashes");
			List<Run> lost = List.copyOf(this.runs.values());
			this.runs.clear();
			for (Run run : lost) {
				this.recorder.end(new Recorder.End(this.recorder.now(), this.name, run.task, run.number, "crashed"));
				breakGang(run);
			}
			this.server.close();
			this.server = null;
		}
	}

	/** Sets the share of the orders that get no answer and are carried out 2 to 12 s later. */
	void lateOrders(double share, Random random) {
		this.lateShare = share;
		this.lateness = random;
	}

	void failWhatStarts(int afterMillis) {
		this.recorder.line("worker " + this.name + ((afterMillis > 0) ? " fails what it starts" : " is sound again"));
		this.failsAfterMillis = afterMillis;
	}

	boolean runs(String prefix) {
		synchronized (LOCK) {
			return this.runs.keySet().stream().anyMatch((task) -> task.startsWith(prefix));
		}
	}

	private long clock() {
		return this.clockOffset + (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	private void tick() {
		long nextHeartbeat = 0;
		while (!this.closed) {
			long now = System.nanoTime();
			synchronized (LOCK) {
				if (this.server != null) {
					advance(now);
				}
			}
			if (this.server != null && now - nextHeartbeat >= 0) {
				nextHeartbeat = now + HEARTBEAT_MILLIS * 1_000_000L;
				heartbeat();
			}
			if (this.server == null) {
				nextHeartbeat = now;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void advance(long now) {
		boolean lapsed = clock() > this.leaseEnd;
		for (Run run : List.copyOf(this.runs.values())) {
			if (this.runs.get(run.task) != run) {
				continue;
			}
			run.save(now);
			if (lapsed) {
				end(run, "lapsed");
			}
			else if (run.stopNanos > 0 && now >= run.stopNanos) {
				if (run.step.checkpointing() && run.progressMillis(now) > run.resumedMillis) {
					run.saved = run.checkpoint(run.progressMillis(now));
				}
				end(run, "stopped");
			}
			else if (run.workingNanos == 0) {
				assemble(run, now);
			}
			else if (this.failsAfterMillis > 0 && run.workedMillis(now) >= this.failsAfterMillis) {
				end(run, "failed");
			}
			else if (!run.step.lasting() && run.progressMillis(now) >= run.step.workMillis()) {
				complete(run);
			}
		}
	}

	/** Starts the work of a gang once all its members are present. */
	private void assemble(Run run, long now) {
		if (run.gang.isEmpty()) {
			run.workingNanos = now;
			return;
		}
		List<Run> members = GANGS.get(run.gang);
		if (members.size() == run.step.count()) {
			members.forEach((member) -> member.workingNanos = now);
		}
		else if (now - run.beganNanos > GANG_TIMEOUT_MILLIS * 1_000_000L) {
			end(run, "alone");
		}
	}

	private void complete(Run run) {
		List<Run> together = run.gang.isEmpty() ? List.of(run) : List.copyOf(GANGS.get(run.gang));
		boolean all = together.stream()
			.allMatch((member) -> member.progressMillis(System.nanoTime()) >= member.step.workMillis());
		if (all) {
			together.forEach((member) -> member.worker().list(member, "done"));
			GANGS.remove(run.gang);
		}
	}

	private void end(Run run, String how) {
		list(run, how);
		breakGang(run);
	}

	private static void breakGang(Run run) {
		List<Run> members = GANGS.remove(run.gang);
		if (members != null) {
			for (Run member : members) {
				if (member != run && member.worker().runs.get(member.task) == member) {
					member.worker().list(member, "broken");
				}
			}
		}
	}

	private void list(Run run, String how) {
		this.runs.remove(run.task);
		this.finished.add(new ListedEnd(++this.lastEnd, run.task, run.number, how, run.saved));
		this.recorder.end(new Recorder.End(this.recorder.now(), this.name, run.task, run.number, how));
		LOCK.notifyAll();
	}

	private void heartbeat() {
		ObjectNode body;
		synchronized (LOCK) {
			body = Http.object()
				.put("service", this.service)
				.put("address", this.address)
				.put("zone", this.zone)
				.put("version", "v1")
				.put("slots", 8)
				.put("state", "ready")
				.put("cold_remaining_ms", 0)
				.put("clock_ms", clock())
				.put("sequence", ++this.sequence)
				.put("born", this.born);
			body.putObject("capacity").put("cpu", CAPACITY).put("mem_mb", 64_000).put("gpus", 0);
			ArrayNode list = body.putArray("labels");
			this.labels.forEach(list::add);
		}
		Http.call(this.agent, "PUT", "/v1/instances/" + this.id, Map.of("Host", this.agent),
				body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8), 1_000);
	}

	private Http.Answer handle(Http.Request request) throws InterruptedException {
		JsonNode body = request.json();
		boolean order = request.path().equals("/v1/run-start") || request.path().equals("/v1/run-stop");
		if (order && this.lateShare > 0) {
			double draw;
			long delay;
			synchronized (this.lateness) {
				draw = this.lateness.nextDouble();
				delay = 2_000 + this.lateness.nextInt(10_000);
			}
			if (draw < this.lateShare) {
				Thread late = new Thread(() -> carryOutLate(request, body, delay));
				late.setDaemon(true);
				late.start();
				return null;
			}
		}
		return carryOut(request, body);
	}

	private void carryOutLate(Http.Request request, JsonNode body, long delayMillis) {
		try {
			TimeUnit.MILLISECONDS.sleep(delayMillis);
			if (this.server != null && !this.closed) {
				this.recorder.line("late   " + this.name + " " + request.path() + " " + body.path("task").asText()
						+ " run " + body.path("run_id").asInt() + ", " + delayMillis + " ms after it was sent");
				Http.Answer answer = carryOut(request, body);
				this.recorder.line("late   " + this.name + " would answer "
						+ ((answer != null) ? answer.status() + " " + answer.body() : "nothing"));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Http.Answer carryOut(Http.Request request, JsonNode body) throws InterruptedException {
		synchronized (LOCK) {
			long life = this.born;
			String expected = request.headers().get("x-crocuspost-expected-instance");
			ObjectNode answer = Http.object();
			if (expected != null && !expected.equals(this.id)) {
				return new Http.Answer(421, answer.put("clock_ms", clock()));
			}
			if (body.path("fencing_token").asLong() < this.fence) {
				return new Http.Answer(409, answer.put("clock_ms", clock()).put("reason", "fence"));
			}
			this.fence = body.path("fencing_token").asLong();
			long deadline = Math.min(body.path("deadline_ms").asLong(), clock() + this.maximumHoldMillis);
			Http.Answer result = switch (request.path()) {
				case "/v1/run-start" -> startRun(body, deadline, answer);
				case "/v1/run-stop" -> stopRun(body, answer);
				case "/v1/pace" -> new Http.Answer(200, answer);
				case "/v1/hold" -> {
					this.leaseEnd = Math.max(this.leaseEnd, deadline);
					yield hold(body, answer);
				}
				default -> new Http.Answer(404, answer);
			};
			if (this.server == null || this.born != life) {
				return null;
			}
			result.body().put("clock_ms", clock());
			return result;
		}
	}

	private Http.Answer startRun(JsonNode body, long deadline, ObjectNode answer) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		Run present = this.runs.get(task);
		if (present != null && present.number == number) {
			return new Http.Answer(200, answer);
		}
		if (body.path("deadline_ms").asLong() <= clock()) {
			return new Http.Answer(409, answer.put("reason", "late"));
		}
		this.leaseEnd = Math.max(this.leaseEnd, deadline);
		if (number <= this.newestRuns.getOrDefault(task, 0) || present != null) {
			return new Http.Answer(409, answer.put("reason", "old"));
		}
		if (this.plans.step(task) == null) {
			return new Http.Answer(400, answer);
		}
		this.newestRuns.put(task, number);
		Run run = new Run(task, number, body.path("checkpoint").asText());
		this.runs.put(task, run);
		this.recorder.start(new Recorder.Start(this.recorder.now(), this.name, task, number,
				body.path("checkpoint").asText(), body.path("spec").asText()));
		if (!run.gang.isEmpty()) {
			GANGS.computeIfAbsent(run.gang, (gang) -> new ArrayList<>()).add(run);
		}
		return new Http.Answer(200, answer);
	}

	private Http.Answer stopRun(JsonNode body, ObjectNode answer) {
		String task = body.path("task").asText();
		int number = body.path("run_id").asInt();
		this.newestRuns.merge(task, number, Math::max);
		Run run = this.runs.get(task);
		if (run != null && run.number <= number && run.stopNanos == 0) {
			this.recorder.line("stop   " + this.name + " " + task + " run " + number);
			run.stopNanos = System.nanoTime() + STOP_MILLIS * 1_000_000L;
		}
		return new Http.Answer(200, answer);
	}

	private Http.Answer hold(JsonNode body, ObjectNode answer) throws InterruptedException {
		long seen = body.path("last_seen").asLong();
		this.finished.removeIf((end) -> end.number <= seen);
		long until = System.nanoTime() + Math.min(2_000, body.path("wait_ms").asLong()) * 1_000_000;
		long life = this.born;
		while (this.finished.isEmpty() && this.server != null && this.born == life && System.nanoTime() < until) {
			LOCK.wait(Math.max(1, Math.min(TICK_MILLIS, (until - System.nanoTime()) / 1_000_000)));
		}
		long now = System.nanoTime();
		answer.put("born", this.born);
		ArrayNode running = answer.putArray("running");
		for (Run run : this.runs.values()) {
			long percent = run.step.lasting() ? 100 : 100 * run.progressMillis(now) / run.step.workMillis();
			running.addArray().add(run.task).add(run.number).add(run.saved).add(percent)
				.add((run.step.targetMillis() > 0) ? tailMillis : run.step.milliCores());
		}
		ArrayNode ends = answer.putArray("finished");
		this.finished.stream()
			.limit(MAXIMUM_LISTED_ENDS)
			.forEach((end) -> ends.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(end.saved));
		return new Http.Answer(200, answer);
	}

	@Override
	public void close() {
		this.closed = true;
		Http.Server current = this.server;
		if (current != null) {
			current.close();
		}
	}

}
