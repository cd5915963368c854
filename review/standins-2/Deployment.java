import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the store, three entries in three zones, and an agent beside each
 * worker, started by the commands of the deploy file.
 */
final class Deployment implements AutoCloseable {

	private static final int ENTRIES = 3;

	private static final int CALLER_PORT = 8_161;

	private static final int READINESS_PORT = 8_167;

	private static final int CONTROL_PORT = 8_166;

	private static final int WORKER_PORT = 8_165;

	private static final int STORE_PORT = 8_169;

	private static final int INTERNAL_PORT = 7_720;

	private static final int DEADLINE_MILLIS = 3_000;

	static final String SERVICE = "huvo11a";

	static final int MAXIMUM_HOLD_MILLIS = 10_000;

	private final Path root;

	private final Path folder;

	private final Recorder recorder;

	private int octet;

	private int portOffset;

	private boolean closed;

	final Plans plans = new Plans();

	final Store store;

	final List<Worker> workers = new ArrayList<>();

	private final Map<String, Process> processes = new ConcurrentHashMap<>();

	private final Map<String, Program> programs = new LinkedHashMap<>();

	private final boolean relayed;

	private final Map<String, Relay> relays = new LinkedHashMap<>();

	private int nextEntry;

	private record Program(String role, String zone, Path settings) {
	}

	Deployment(Path root, Path folder, Recorder recorder, List<List<String>> labels, boolean relayed)
			throws IOException {
		this.relayed = relayed;
		this.root = root;
		this.folder = folder;
		this.recorder = recorder;
		findFreeAddresses();
		this.store = new Store(at(0, 1, STORE_PORT));
		for (int number = 1; number <= labels.size(); number++) {
			this.workers.add(new Worker("w" + number, at(2, number, WORKER_PORT), at(2, number, CONTROL_PORT),
					zone(number), SERVICE, labels.get(number - 1), MAXIMUM_HOLD_MILLIS, this.plans, recorder));
		}
	}

	/** Starts the programs. The first configuration has to be in the store. */
	void start() throws IOException {
		for (int number = 1; number <= ENTRIES; number++) {
			process("entry", "edge-" + number, 1, number,
					"listen_addrs.frontend_addr=" + at(1, number, CALLER_PORT) + "\nlisten_addrs.readiness_addr="
							+ at(1, number, READINESS_PORT) + "\nserves=edge\nlimits.memory_mb=430\n");
		}
		for (int number = 1; number <= this.workers.size(); number++) {
			process("agent", "side-" + number, 2, number,
					"listen_addrs.control_plane=" + at(2, number, CONTROL_PORT) + "\napp=" + at(2, number, WORKER_PORT)
							+ "\nservice=" + SERVICE + "\nserves=side\nlimits.memory_mb=298\n");
		}
	}

	/** Finds loopback addresses and ports that nobody uses. */
	private void findFreeAddresses() {
		List<Integer> ports = List.of(CALLER_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT, STORE_PORT, INTERNAL_PORT);
		for (int attempt = 0; attempt < 200; attempt++) {
			this.octet = 20 + (int) ((ProcessHandle.current().pid() + attempt) % 200);
			this.portOffset = 100 * (attempt / 8);
			if (ports.stream().allMatch(this::isFree)) {
				return;
			}
		}
		throw new IllegalStateException("no free loopback addresses");
	}

	private boolean isFree(int port) {
		try (ServerSocket probe = new ServerSocket()) {
			probe.bind(new InetSocketAddress("127." + this.octet + ".0.1", port + this.portOffset));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private String at(int third, int fourth, int port) {
		return "127." + this.octet + "." + third + "." + fourth + ":" + (port + this.portOffset);
	}

	private static String zone(int number) {
		return "zone-" + (char) ('a' + (number - 1) % ENTRIES);
	}

	private void process(String role, String name, int third, int number, String more) throws IOException {
		String ip = "127." + this.octet + "." + third + "." + number;
		String settings = """
				node_name=%s
				role=%s
				ip=%s
				zone=%s
				region=r
				zones.zone-a=r
				zones.zone-b=r
				zones.zone-c=r
				port_range=%d,%d
				bootstrap=true
				heartbeat_ms=%d
				policies=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing
				fault_tolerance.machines=2
				fault_tolerance.zones=1
				limits.cpu_share=0.75
				limits.cpu_cores=1
				limits.max_fds=4100
				limits.link_mbps=1000.0
				bounds.contact_ms=3000
				bounds.ack_timeout_ms=4000
				bounds.drain_ms=2000
				bounds.grace_s=6
				bounds.config_apply_ms=2000
				bounds.max_hold_ms=%d
				bounds.stop_timeout_ms=900
				bounds.gang_timeout_ms=%d
				bounds.cancel_ms=3000
				bounds.visible_ms=3000
				bounds.finish_s=14
				bounds.status_s=120
				bounds.remote_penalty=1.5
				bounds.checkpoint_s=1
				bounds.restore_ms=250
				bounds.notice_ms=4500
				bounds.lease_ms=3000
				bounds.interference_ms=4000
				orders=rpc
				platform.address=%s
				platform.form=table
				platform.writes_per_s=800
				platform.reads_per_s=2000
				platform.tx_ms=5.0
				platform.part_writes_per_s=200
				platform.row_bytes=65536
				platform.cross_shard=false
				platform.history_s=20
				""".formatted(name, role, ip, zone(number), INTERNAL_PORT + this.portOffset,
				INTERNAL_PORT + this.portOffset + 15, Worker.HEARTBEAT_MILLIS,
				MAXIMUM_HOLD_MILLIS, Worker.GANG_TIMEOUT_MILLIS, relayed ? ownStoreAddress(name, third, number) : at(0, 1, STORE_PORT)) + more;
		Path file = this.folder.resolve(name + ".conf");
		Files.writeString(file, settings);
		this.programs.put(name, new Program(role, zone(number), file));
		run(name);
	}

	private String ownStoreAddress(String name, int third, int number) {
		String address = at(third + 2, number, STORE_PORT);
		this.store.serve(address, name);
		if (third == 2) {
			String agent = at(2, number, INTERNAL_PORT);
			String relay = at(5, number, INTERNAL_PORT);
			this.store.relay(agent, relay);
			this.relays.put(name, new Relay(relay, agent, "edge-1", "edge-2", "edge-3"));
		}
		return address;
	}

	String zoneOf(String name) {
		return this.programs.get(name).zone();
	}

	/** Cuts the path between an entry and the agents of a zone; an empty name makes it whole. */
	void cut(String entry, String zone) {
		this.recorder.line(entry.isEmpty() ? "the path to " + zone + " is whole again"
				: "the path between " + entry + " and " + zone + " is cut");
		this.relays.forEach((name, relay) -> {
			if (zoneOf(name).equals(zone)) {
				relay.cut(entry);
			}
		});
	}

	/** Kills a process and starts it again after half a second. */
	void kill(String name) throws IOException, InterruptedException {
		this.recorder.line(name + " is killed");
		this.processes.get(name).destroyForcibly().waitFor();
		TimeUnit.MILLISECONDS.sleep(500);
		run(name);
	}

	private synchronized void run(String name) throws IOException {
		if (this.closed) {
			return;
		}
		Program program = this.programs.get(name);
		ProcessBuilder builder = new ProcessBuilder(command(program.role())).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(name + ".log").toFile()));
		builder.environment().put("CROCUSPOST_SETTINGS", program.settings().toString());
		this.processes.put(name, builder.start());
	}

	/** Takes the power from a zone: its entry, its agents and its workers are gone at once, and back within 1.5 s. */
	void losePower(String zone) throws IOException, InterruptedException {
		this.recorder.line(zone + " loses power");
		List<String> names = this.programs.keySet()
			.stream()
			.filter((name) -> this.programs.get(name).zone().equals(zone))
			.toList();
		names.forEach((name) -> this.processes.get(name).destroyForcibly());
		List<Worker> lost = this.workers.stream().filter((worker) -> worker.zone().equals(zone)).toList();
		lost.forEach(Worker::crash);
		for (String name : names) {
			this.processes.get(name).waitFor();
		}
		TimeUnit.MILLISECONDS.sleep(700);
		lost.forEach(Worker::startAgain);
		TimeUnit.MILLISECONDS.sleep(700);
		for (String name : names) {
			run(name);
		}
		this.recorder.line("all machines of " + zone + " have power again");
	}

	private List<String> command(String role) throws IOException {
		String deploy = Files.readString(this.root.resolve("deploy/system.toml"), StandardCharsets.UTF_8);
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(deploy);
		if (!matcher.find()) {
			throw new IOException("the deploy file has no role " + role);
		}
		return List.of(matcher.group(1).split(" "));
	}

	/** Waits until the entries are ready and a job is carried out. */
	boolean awaitReady(int seconds) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		int ready = 0;
		while (ready < ENTRIES && System.nanoTime() < deadline) {
			ready = 0;
			for (int number = 1; number <= ENTRIES; number++) {
				String address = at(1, number, READINESS_PORT);
				Http.Answer answer = Http.call(address, "GET", "/v1/readiness", Map.of("Host", address), new byte[0], 1_000);
				ready += (answer != null && answer.status() == 200) ? 1 : 0;
			}
			TimeUnit.MILLISECONDS.sleep(200);
		}
		return ready == ENTRIES;
	}

	/** Makes a caller's request, at the next entry, and again at others while it may be tried again. */
	Http.Answer request(String method, String host, String path, byte[] body) throws InterruptedException {
		Http.Answer answer = null;
		for (int attempt = 0; attempt < 5; attempt++) {
			String address = at(1, 1 + this.nextEntry++ % ENTRIES, CALLER_PORT);
			answer = Http.call(address, method, path,
					Map.of("Host", host, "X-Crocuspost-Time-Remaining", String.valueOf(DEADLINE_MILLIS)), body,
					DEADLINE_MILLIS);
			this.recorder.line("caller " + method + " " + host + path + " -> "
					+ ((answer != null) ? answer.status() + " " + answer.body() : "no answer"));
			if (answer != null && answer.status() != 502 && answer.status() != 503 && answer.status() != 504
					&& answer.status() != 429) {
				return answer;
			}
			TimeUnit.MILLISECONDS.sleep(500);
		}
		return answer;
	}

	/** Hands a job in. Returns whether it was accepted. */
	boolean submit(String host, String prefix, String id, List<Plans.Step> steps) throws InterruptedException {
		this.plans.add(id, steps);
		this.recorder.line("caller submits " + this.plans.body(id));
		Http.Answer answer = request("POST", host, prefix + id,
				this.plans.body(id).toString().getBytes(StandardCharsets.UTF_8));
		return answer != null && answer.status() / 100 == 2;
	}

	/** Returns the state of a job as callers see it, or the status of the answer. */
	String state(String host, String prefix, String id) throws InterruptedException {
		Http.Answer answer = request("GET", host, prefix + id, new byte[0]);
		return (answer == null) ? "none"
				: (answer.status() == 200) ? answer.body().path("state").asText() : String.valueOf(answer.status());
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			this.processes.values().forEach(Process::destroyForcibly);
		}
		this.workers.forEach(Worker::close);
		this.relays.values().forEach(Relay::close);
		this.store.close();
		for (Process process : this.processes.values()) {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
