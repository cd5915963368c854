import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the programs of the deploy file as processes on loopback addresses, beside the
 * stand-ins for the store, the workers and the clients.
 */
final class Deployment implements AutoCloseable {

	/** Exit code of a case that broke its rule. A program that fails to start exits with 1. */
	static final int BROKEN = 10;

	static final int HEARTBEAT_MILLIS = 1_100;

	/** Number of workers of kind "a". The others are of kind "b". */
	private static final int FIRST_KIND_WORKERS = 4;

	private final Path folder = Files.createTempDirectory("crocuspost-review");

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, String> roles = new LinkedHashMap<>();

	private final Map<String, String> addresses = new LinkedHashMap<>();

	final History history;

	final Store store;

	final List<Worker> workers = new ArrayList<>();

	final List<String> entries = new ArrayList<>();

	private final double linkMegabits;

	private final int octet;

	private final String deployFile;

	private int incarnations;

	Deployment(Path recordFolder, int entryCount, int workerCount, String configuration,
			LongFunction<String> checkpoints) throws Exception {
		this(recordFolder, entryCount, workerCount, configuration, checkpoints, 1_000);
	}

	Deployment(Path recordFolder, int entryCount, int workerCount, String configuration,
			LongFunction<String> checkpoints, double linkMegabits) throws Exception {
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
		this.history = new History(recordFolder.resolve("record.txt"));
		this.octet = freeOctet();
		this.deployFile = Files.readString(Path.of("deploy/system.toml"));
		this.linkMegabits = linkMegabits;
		this.store = new Store();
		this.store.linkBytesPerSecond = linkMegabits * 1e6 / 8;
		this.store.writeOperatorRow("config", configuration);
		for (int number = 1; number <= entryCount; number++) {
			String name = "edge-" + number;
			this.entries.add(name);
			prepare(name, "entry", 1, number,
					"listen_addrs.frontend_addr=" + text(address(1, number, 8_161)) + "\nlisten_addrs.readiness_addr="
							+ text(address(1, number, 8_167)) + "\n");
			startProcess(name);
		}
		for (int number = 1; number <= workerCount; number++) {
			String name = "side-" + number;
			prepare(name, "agent", 2, number, "listen_addrs.control_plane=" + text(address(2, number, 8_166)) + "\napp="
					+ text(address(2, number, 8_165)) + "\nservice=lunchwallet\n");
			startProcess(name);
			Worker worker = new Worker("i-" + number, address(2, number, 8_165), address(2, number, 8_166),
					zone(number), (number > FIRST_KIND_WORKERS) ? "b" : "a", "r" + (1 + (number - 1) / 3), HEARTBEAT_MILLIS, this.history, checkpoints);
			this.workers.add(worker);
			worker.start();
		}
	}

	static String configuration(int version, String... routes) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
				+ "],\"services\":[{\"name\":\"lunchwallet\",\"health_path\":\"/health\",\"max_connections\":64,"
				+ "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
				+ "\"enforces_capacity\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	static String route(String name, String prefix, int priority, int attempts, int targetMillis) {
		return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"" + prefix
				+ "\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":" + targetMillis
				+ ",\"priority\":" + priority + ",\"service\":\"lunchwallet\",\"attempts\":" + attempts
				+ ",\"stretch\":2.0}";
	}

	private static int freeOctet() {
		int first = 10 + (int) (ProcessHandle.current().pid() % 200);
		for (int octet = first; octet < 250; octet++) {
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress("127." + octet + ".11.1", 8_169));
				return octet;
			}
			catch (IOException ex) {
				// Another run uses these addresses.
			}
		}
		throw new IllegalStateException("no free loopback addresses");
	}

	InetSocketAddress address(int third, int fourth, int port) {
		return new InetSocketAddress("127." + this.octet + "." + third + "." + fourth, port);
	}

	static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	private static String zone(int number) {
		return "zone-" + (char) ('a' + (number - 1) % 3);
	}

	private void prepare(String name, String role, int third, int number, String own) throws IOException {
		String ip = address(third, number, 0).getHostString();
		InetSocketAddress store = address(10 + third, number, 8_169);
		this.store.listen(name, store);
		this.roles.put(name, role);
		this.addresses.put(name, ip);
		Files.writeString(this.folder.resolve(name + ".conf"), "node_name=" + name + "\nrole=" + role + "\nip=" + ip
				+ "\nzone=" + zone(number) + "\nregion=region\nport_range=7720,7735\nbootstrap=true\n"
				+ "limits.cpu_share=0.75\nlimits.cpu_cores=1\nlimits.memory_mb=430\nlimits.link_mbps="
				+ (role.equals("entry") ? this.linkMegabits : 1_000.0) + "\n"
				+ "heartbeat_ms=" + HEARTBEAT_MILLIS + "\nbounds.grace_s=6\nbounds.max_hold_ms=6000\n"
				+ "bounds.stop_timeout_ms=200\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
				+ "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
				+ "bounds.remote_penalty=1.5\nbounds.interference_ms=4000\nbounds.config_apply_ms=2000\norders=rpc\n"
				+ "platform.address=" + text(store) + "\nplatform.form=table\n"
				+ "platform.tx_ms=5.0\nplatform.row_bytes=65536\nplatform.history_s=20\n" + own);
	}

	/** Starts a program with its command of the deploy file. */
	synchronized void startProcess(String name) throws IOException {
		Matcher run = Pattern.compile("\\[roles\\." + this.roles.get(name) + "\\]\\s+run = \"([^\"]*)\"")
			.matcher(this.deployFile);
		if (!run.find()) {
			throw new IllegalStateException("the deploy file has no command for " + name);
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
		builder.environment().keySet().removeIf((key) -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
		builder.environment().put("CROCUSPOST_SETTINGS", this.folder.resolve(name + ".conf").toString());
		File log = this.folder.resolve(name + "-" + ++this.incarnations + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(log);
		this.processes.put(name, builder.start());
		this.history.log(name + " started");
	}

	synchronized void kill(String name) throws Exception {
		this.history.log(name + " killed (SIGKILL)");
		this.processes.get(name).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

	synchronized void terminate(String name) {
		this.history.log(name + " asked to stop (SIGTERM)");
		this.processes.get(name).destroy();
	}

	synchronized boolean alive(String name) {
		return this.processes.get(name).isAlive();
	}

	String frontend(String entry) {
		return "http://" + this.addresses.get(entry) + ":8161";
	}

	/** Waits until all entries say that they are ready. */
	void awaitReady(int seconds) throws Exception {
		long until = System.nanoTime() + seconds * 1_000_000_000L;
		for (String entry : this.entries) {
			while (true) {
				try {
					HttpURLConnection connection = (HttpURLConnection) new URL(
							"http://" + this.addresses.get(entry) + ":8167/v1/readiness").openConnection();
					connection.setConnectTimeout(500);
					connection.setReadTimeout(500);
					if (connection.getResponseCode() == 200) {
						break;
					}
				}
				catch (IOException ex) {
					// It is not up yet.
				}
				if (System.nanoTime() > until) {
					throw new IllegalStateException(entry + " does not become ready");
				}
				Thread.sleep(100);
			}
		}
	}

	private synchronized void killAll() {
		this.processes.values().forEach(Process::destroyForcibly);
	}

	@Override
	public void close() throws Exception {
		killAll();
		for (Process process : this.processes.values()) {
			process.waitFor(5, TimeUnit.SECONDS);
		}
		this.workers.forEach(Worker::close);
		this.store.stop();
		if (System.getenv("KEEP_LOGS") != null) {
			System.out.println("logs: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
	}

}
