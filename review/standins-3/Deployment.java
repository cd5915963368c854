import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the programs of the deploy file as separate
 * processes, a store, and a worker beside each agent.
 */
final class Deployment implements AutoCloseable {

	static final String SERVICE = "ride-desk";

	static final String HOST = "desk.example";

	static final String PREFIX = "/gangs/";

	static final long HEARTBEAT_MILLIS = 1_100;

	private static final List<String> ZONES = List.of("bengal-kol", "bengal-hwh", "bengal-sgr");

	record Start(long millis, String task, int run, String worker, String checkpoint) {
	}

	final List<Worker> workers = new ArrayList<>();

	final List<Start> starts = new ArrayList<>();

	final List<InetSocketAddress> entries = new ArrayList<>();

	final Store store;

	private final Map<String, Worker.Plan> plans = new ConcurrentHashMap<>();

	private final Map<String, Process> processes = new LinkedHashMap<>();

	/** Guarded by the map of processes: none is started once they are being ended. */
	private boolean closed;

	private final PrintWriter record;

	private final long startNanos = System.nanoTime();

	private final Path folder;

	private final int network;

	private final int port;

	Deployment(Path recordFile, int entryCount, int workerCount, String configuration) throws Exception {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("case");
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		int[] free = freeAddresses(entryCount + workerCount + 1);
		this.network = free[0];
		this.port = free[1];
		this.store = new Store(address(0, 9));
		this.store.operator("config", configuration);
		Map<String, String> commands = commands();
		for (int number = 1; number <= entryCount; number++) {
			start("entry-" + number, commands.get("entry"), settings(number, "entry", "edge", ZONES.get(number % 3)));
			this.entries.add(address(number, 1));
		}
		for (int number = 1; number <= workerCount; number++) {
			int machine = entryCount + number;
			start("agent-" + number, commands.get("agent"), settings(machine, "agent", "side", ZONES.get(number % 3)));
		}
		for (int number = 1; number <= workerCount; number++) {
			int machine = entryCount + number;
			this.workers.add(new Worker(this, "w" + number, ZONES.get(number % 3), "r" + (1 + number % 4) + "-1",
					address(machine, 5), address(machine, 6)));
		}
	}

	private static int[] freeAddresses(int machines) {
		for (int attempt = 0; attempt < 100; attempt++) {
			int network = 20 + (int) (Math.random() * 200);
			int port = 12_000 + 20 * (int) (Math.random() * 900);
			boolean free = true;
			for (int machine = 0; machine < machines && free; machine++) {
				for (int offset = 0; offset < 16 && free; offset++) {
					try (ServerSocket socket = new ServerSocket()) {
						socket.bind(new InetSocketAddress("127." + network + ".0." + (machine + 1), port + offset));
					}
					catch (Exception ex) {
						free = false;
					}
				}
			}
			if (free) {
				return new int[] { network, port };
			}
		}
		throw new IllegalStateException("no free addresses");
	}

	private InetSocketAddress address(int machine, int offset) throws Exception {
		return new InetSocketAddress(InetAddress.getByName(ip(machine)), this.port + offset);
	}

	private String ip(int machine) {
		return "127." + this.network + ".0." + (machine + 1);
	}

	private static Map<String, String> commands() throws Exception {
		Map<String, String> commands = new LinkedHashMap<>();
		Matcher matcher = Pattern.compile("\\[roles\\.(\\w+)\\]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		while (matcher.find()) {
			commands.put(matcher.group(1), matcher.group(2));
		}
		return commands;
	}

	private String settings(int machine, String role, String machineClass, String zone) {
		String ip = ip(machine);
		StringBuilder text = new StringBuilder();
		text.append("node_name=").append(role).append("-").append(machine).append("\nrole=").append(role);
		text.append("\nmachine_class=").append(machineClass).append("\nserves=").append(machineClass);
		text.append("\nip=").append(ip).append("\nzone=").append(zone).append("\nregion=bengal\n");
		if (machineClass.equals("edge")) {
			text.append("listen_addrs.frontend_addr=").append(ip).append(":").append(this.port + 1).append("\n");
			text.append("listen_addrs.readiness_addr=").append(ip).append(":").append(this.port + 2).append("\n");
			text.append("limits.cpu_share=0.75\nlimits.memory_mb=430\nlimits.max_fds=4100\n");
		}
		else {
			text.append("listen_addrs.control_plane=").append(ip).append(":").append(this.port + 6).append("\n");
			text.append("app=").append(ip).append(":").append(this.port + 5).append("\n");
			text.append("limits.cpu_share=0.45\nlimits.memory_mb=298\nlimits.max_fds=4096\n");
		}
		text.append("limits.cpu_cores=1\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\norders=rpc\nbootstrap=true\n");
		text.append("port_range=").append(this.port + 10).append(",").append(this.port + 15).append("\n");
		text.append("heartbeat_ms=").append(HEARTBEAT_MILLIS).append("\n");
		text.append("bounds.max_hold_ms=10000\nbounds.stop_timeout_ms=900\nbounds.grace_s=6\n");
		text.append("bounds.gang_timeout_ms=3000\nbounds.checkpoint_s=1\nbounds.restore_ms=250\n");
		text.append("bounds.remote_penalty=1.5\nbounds.interference_ms=4000\nbounds.cancel_ms=3000\n");
		text.append("bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\nbounds.lease_ms=3000\n");
		text.append("platform.address=").append(ip(0)).append(":").append(this.port + 9).append("\n");
		text.append("platform.form=table\nplatform.row_bytes=65536\nplatform.tx_ms=5.0\n");
		return text.toString();
	}

	private void start(String name, String command, String settings) throws Exception {
		Path file = this.folder.resolve(name + ".conf");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(command.split(" ")).redirectErrorStream(true)
			.redirectOutput(this.folder.resolve(name + ".log").toFile());
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("CROCUSPOST_SETTINGS", file.toString());
		synchronized (this.processes) {
			if (this.closed) {
				throw new IllegalStateException("the case is being ended");
			}
			this.processes.put(name, builder.start());
		}
	}

	synchronized void record(String text) {
		this.record.printf("%7d %s%n", millis(), text);
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	void plan(String job, Worker.Plan plan) {
		this.plans.put(job, plan);
	}

	Worker.Plan plan(String task) {
		return this.plans.get(task.substring(0, task.indexOf('.')));
	}

	synchronized void started(String task, int run, String worker, String checkpoint) {
		this.starts.add(new Start(millis(), task, run, worker, checkpoint));
		record("start " + task + " run " + run + " on " + worker + " checkpoint '" + checkpoint + "'");
	}

	synchronized List<Start> starts() {
		return List.copyOf(this.starts);
	}

	/** Sends a request of a client to an entry and records it with its answer. */
	Http.Answer client(int entry, String method, String path, String body) {
		Http.Answer answer;
		try {
			answer = Http.call(this.entries.get(entry), HOST, method, path, body, 3_000,
					new LinkedHashMap<>(Map.of("X-Crocuspost-Time-Remaining", "3000")));
		}
		catch (Exception ex) {
			answer = new Http.Answer(0, String.valueOf(ex.getMessage()));
		}
		record("client " + method + " " + path + " -> " + answer.status() + " " + answer.body());
		return answer;
	}

	/** Submits a job until it is accepted, as a client that retries. */
	boolean submit(String path, String body) {
		for (int attempt = 0; attempt < 8; attempt++) {
			if (client(attempt % this.entries.size(), "POST", path, body).status() == 200) {
				return true;
			}
			Worker.pause(700);
		}
		return false;
	}

	boolean allAlive() {
		return this.processes.values().stream().allMatch(Process::isAlive);
	}

	@Override
	public void close() {
		synchronized (this.processes) {
			this.closed = true;
			this.processes.values().forEach(Process::destroyForcibly);
		}
		this.processes.values().forEach((process) -> {
			try {
				process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		if (System.getenv("KEEP") != null) {
			System.out.println(this.folder);
			return;
		}
		try (java.util.stream.Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (Exception ex) {
			// The folder was removed before.
		}
	}

}
