package org.crocuspost.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * One run of the soak test: starts a deployment and its callers, injects the faults of a
 * seed and checks the guarantees.
 */
final class Soak {

	private static final int ENTRY_COUNT = 3;

	private static final int CALLER_PORT = 8_001;

	private static final int READINESS_PORT = 8_002;

	private static final int INTERNAL_PORT = 8_010;

	private static final int HEARTBEAT_PORT = 8_020;

	private static final int WORKER_PORT = 8_030;

	private static final int STORE_PORT = 8_040;

	private static final int PROXY_PORT = 9_000;

	/**
	 * Share of a run in which faults start. The rest of the run shows whether everything
	 * is served again.
	 */
	private static final double FAULT_PERIOD_SHARE = 0.6;

	private static final Duration RESIZE_INTERVAL = Duration.ofSeconds(4);

	/**
	 * Time for which a worker is shrunk, longer than the time after which starts must
	 * respect that.
	 */
	private static final Duration SHRUNK_TIME = Duration.ofSeconds(7);

	private static final Duration STARTUP_TIME = Duration.ofSeconds(5);

	/**
	 * Time after the end of the load within which accepted work must be done.
	 */
	private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(25);

	private final long seed;

	private final Duration duration;

	private final int hosts;

	private final Path folder;

	private final int secondOctet;

	private final RunHistory runHistory = new RunHistory();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	private final List<ServerProcess> entries = new ArrayList<>();

	private final List<ServerProcess> agents = new ArrayList<>();

	private final List<WorkerServer> workers = new ArrayList<>();

	private final List<FaultProxy> storeProxies = new ArrayList<>();

	private final List<FaultProxy> callerProxies = new ArrayList<>();

	private final Map<String, String> proxyAddresses = new TreeMap<>();

	private final List<FaultProxy> hostProxies = new ArrayList<>();

	private final boolean unstableWorkers;

	private int configurationVersion = 1;

	/**
	 * Creates a soak.
	 * @param seed the seed of load and faults
	 * @param duration how long callers submit jobs
	 * @param hosts the number of hosts with a worker
	 * @param folder where the logs go
	 * @param secondOctet the second octet of the loopback addresses
	 * @param unstableWorkers whether some tasks crash each worker that starts them, and
	 * the capacity of workers changes
	 */
	Soak(long seed, Duration duration, int hosts, Path folder, int secondOctet, boolean unstableWorkers) {
		this.unstableWorkers = unstableWorkers;
		this.seed = seed;
		this.duration = duration;
		this.hosts = hosts;
		this.folder = folder;
		this.secondOctet = secondOctet;
	}

	/**
	 * Returns the second octet of the loopback addresses of a soak in this process. It
	 * keeps soaks in other processes on this machine apart, so that several can run at
	 * once although the programs prescribe their ports.
	 * @return the octet
	 */
	static int loopbackOctet() {
		return 10 + (int) (ProcessHandle.current().pid() % 240);
	}

	/**
	 * Runs the soak.
	 * @return the result
	 * @throws IOException if the folder for logs cannot be created
	 */
	SoakReport run() throws IOException {
		Files.createDirectories(this.folder);
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(this.seed);
		try (StoreServer store = new StoreServer(address(0, 1, STORE_PORT), this.proxyAddresses::get)) {
			writeConfiguration(store);
			createProcesses();
			this.entries.forEach(ServerProcess::start);
			this.agents.forEach(ServerProcess::start);
			sleep(STARTUP_TIME);
			List<URI> entryUris = new ArrayList<>();
			for (int entry = 0; entry < ENTRY_COUNT; entry++) {
				entryUris.add(URI.create("http://" + hostAndPort(address(3, entry + 1, PROXY_PORT))));
			}
			try (Callers callers = new Callers(entryUris, this.runHistory, random, this.unstableWorkers)) {
				callers.submitEvery(Duration.ofMillis(180));
				Duration faultPeriod = Duration.ofMillis((long) (this.duration.toMillis() * FAULT_PERIOD_SHARE));
				List<FaultPlan.Fault> faults = FaultPlan
					.generate(RandomGeneratorFactory.of("L64X128MixRandom").create(this.seed + 1), faultPeriod);
				faults.forEach((fault) -> this.timer.schedule(() -> injectFault(fault, store), fault.startMillis(),
						TimeUnit.MILLISECONDS));
				if (this.unstableWorkers) {
					scheduleResizes(faultPeriod);
				}
				sleep(this.duration);
				callers.stopSubmitting();
				List<String> unfinished = awaitRecovery(callers);
				return new SoakReport(this.seed, faults, callers.submitted(), callers.accepted(),
						this.runHistory.runCount(), this.runHistory.crashCount(), violations(unfinished));
			}
		}
		finally {
			close();
		}
	}

	private void scheduleResizes(Duration period) {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(this.seed + 2);
		for (long start = 1_000; start < period.toMillis(); start += RESIZE_INTERVAL.toMillis()) {
			WorkerServer worker = select(this.workers, random.nextInt(1_000));
			schedule(start, () -> worker.resize(WorkerServer.CAPACITY / 4));
			schedule(start + SHRUNK_TIME.toMillis(), () -> worker.resize(WorkerServer.CAPACITY));
		}
	}

	private List<String> awaitRecovery(Callers callers) {
		long deadlineNanos = System.nanoTime() + RECOVERY_TIMEOUT.toNanos();
		List<String> unfinished = callers.findViolations(0);
		while (!unfinished.isEmpty() && System.nanoTime() < deadlineNanos) {
			sleep(Duration.ofSeconds(1));
			unfinished = callers.findViolations(0);
		}
		return unfinished;
	}

	private List<String> violations(List<String> unfinished) {
		List<String> violations = new ArrayList<>(this.runHistory.violations());
		violations.addAll(unfinished);
		List<ServerProcess> processes = new ArrayList<>(this.entries);
		processes.addAll(this.agents);
		processes.stream()
			.filter(ServerProcess::exitedUnexpectedly)
			.forEach((process) -> violations.add("process exited unexpectedly: " + process.name()));
		return violations;
	}

	private static void sleep(Duration time) {
		try {
			// The latch is never counted down, so this waits for the whole time.
			new CountDownLatch(1).await(time.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private InetSocketAddress address(int thirdOctet, int fourthOctet, int port) {
		return new InetSocketAddress("127." + this.secondOctet + "." + thirdOctet + "." + fourthOctet, port);
	}

	private static String hostAndPort(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

	private void createProcesses() {
		for (int number = 1; number <= ENTRY_COUNT; number++) {
			InetSocketAddress storeProxy = addProxy(this.storeProxies, address(4, number, PROXY_PORT),
					address(0, 1, STORE_PORT));
			addProxy(this.callerProxies, address(3, number, PROXY_PORT), address(1, number, CALLER_PORT));
			this.entries.add(new ServerProcess("entry-" + number, "entry", this.folder,
					settings("entry-" + number, 1, number, storeProxy) + "listen_addrs.frontend_addr="
							+ hostAndPort(address(1, number, CALLER_PORT)) + "\nlisten_addrs.readiness_addr="
							+ hostAndPort(address(1, number, READINESS_PORT)) + "\n"));
		}
		for (int number = 1; number <= this.hosts; number++) {
			InetSocketAddress storeProxy = addProxy(this.storeProxies, address(5, number, PROXY_PORT),
					address(0, 1, STORE_PORT));
			InetSocketAddress hostProxy = addProxy(this.hostProxies, address(6, number, PROXY_PORT),
					address(2, number, INTERNAL_PORT));
			this.proxyAddresses.put(hostAndPort(address(2, number, INTERNAL_PORT)), hostAndPort(hostProxy));
			this.agents.add(new ServerProcess("agent-" + number, "agent", this.folder,
					settings("agent-" + number, 2, number, storeProxy) + "listen_addrs.control_plane="
							+ hostAndPort(address(2, number, HEARTBEAT_PORT)) + "\napp="
							+ hostAndPort(address(2, number, WORKER_PORT)) + "\n"));
			this.workers.add(new WorkerServer("worker-" + number, failureDomain(number),
					address(2, number, WORKER_PORT), address(2, number, HEARTBEAT_PORT), this.runHistory));
		}
	}

	private static InetSocketAddress addProxy(List<FaultProxy> proxies, InetSocketAddress listen,
			InetSocketAddress target) {
		proxies.add(new FaultProxy(listen, target));
		return listen;
	}

	private static String failureDomain(int number) {
		return "domain-" + number % 2;
	}

	private String settings(String name, int thirdOctet, int number, InetSocketAddress store) {
		return """
				node_name=%s
				ip=%s
				zone=%s
				port_range=%d,%d
				heartbeat_ms=500
				platform.address=%s
				platform.row_bytes=65536
				bounds.max_hold_ms=6000
				bounds.stop_timeout_ms=200
				bounds.grace_s=6
				bounds.remote_penalty=1.5
				bounds.interference_ms=4000
				bounds.cancel_ms=3000
				bounds.status_s=120
				""".formatted(name, address(thirdOctet, number, 0).getHostString(), failureDomain(number),
				INTERNAL_PORT, INTERNAL_PORT + 5, hostAndPort(store));
	}

	private void writeConfiguration(StoreServer store) {
		store.writeOperatorRow("config", """
				{"version":%d,"routes":[{"name":"queue","host":"127.%d.3.1","path_prefix":"/jobs/","service":"service",\
				"priority":0,"attempts":3,"stretch":2,"target_latency_ms":1000},\
				{"name":"queue","host":"127.%d.3.2","path_prefix":"/jobs/","service":"service",\
				"priority":0,"attempts":3,"stretch":2,"target_latency_ms":1000},\
				{"name":"queue","host":"127.%d.3.3","path_prefix":"/jobs/","service":"service",\
				"priority":0,"attempts":3,"stretch":2,"target_latency_ms":1000}],\
				"services":[{"name":"service","enforces_capacity":false}],"limits":{}}"""
			.formatted(this.configurationVersion++, this.secondOctet, this.secondOctet, this.secondOctet));
	}

	private static <T> T select(List<T> targets, int target) {
		return targets.get(target % targets.size());
	}

	private void injectFault(FaultPlan.Fault fault, StoreServer store) {
		int target = fault.target();
		long durationMillis = fault.durationMillis();
		switch (fault.kind()) {
			case ENTRY_KILLED -> stopAndRestart(select(this.entries, target), ServerProcess::kill, durationMillis);
			case ENTRY_TERMINATED ->
				stopAndRestart(select(this.entries, target), ServerProcess::terminate, durationMillis);
			case ENTRY_PAUSED -> pause(select(this.entries, target), durationMillis);
			case AGENT_KILLED -> stopAndRestart(select(this.agents, target), ServerProcess::kill, durationMillis);
			case AGENT_TERMINATED ->
				stopAndRestart(select(this.agents, target), ServerProcess::terminate, durationMillis);
			case AGENT_PAUSED -> pause(select(this.agents, target), durationMillis);
			case ALL_KILLED -> {
				this.entries.forEach((process) -> stopAndRestart(process, ServerProcess::kill, durationMillis));
				this.agents.forEach((process) -> stopAndRestart(process, ServerProcess::kill, durationMillis));
			}
			case SETTINGS_RELOADED -> select(this.entries, target).signal("HUP");
			case STORE_DOWN -> setStoreFault(store, StoreServer.Fault.DOWN, durationMillis);
			case STORE_REFUSING -> setStoreFault(store, StoreServer.Fault.REFUSING, durationMillis);
			case STORE_SLOW -> setStoreFault(store, StoreServer.Fault.SLOW, durationMillis);
			case STORE_ANSWERS_LOST -> setStoreFault(store, StoreServer.Fault.ANSWERS_LOST, durationMillis);
			case STORE_HISTORY_FORGOTTEN -> store.discardHistory();
			case ENTRY_CUT_FROM_STORE ->
				setProxyMode(this.storeProxies.get(target % ENTRY_COUNT), FaultProxy.Mode.BLOCKED, durationMillis);
			case AGENT_CUT_FROM_STORE -> setProxyMode(this.storeProxies.get(ENTRY_COUNT + target % this.hosts),
					FaultProxy.Mode.RESPONSES_BLOCKED, durationMillis);
			case HOST_SILENT -> setProxyMode(select(this.hostProxies, target), FaultProxy.Mode.BLOCKED, durationMillis);
			case HOST_ONE_WAY ->
				setProxyMode(select(this.hostProxies, target), FaultProxy.Mode.RESPONSES_BLOCKED, durationMillis);
			case HOST_RESET ->
				setProxyMode(select(this.hostProxies, target), FaultProxy.Mode.RESETTING, durationMillis);
			case HOST_DELAYED ->
				setProxyMode(select(this.hostProxies, target), FaultProxy.Mode.DELAYED, durationMillis);
			case CALLERS_RESET ->
				setProxyMode(select(this.callerProxies, target), FaultProxy.Mode.RESETTING, durationMillis);
			case WORKER_RESTARTED -> select(this.workers, target).restart(false);
			case WORKER_RENAMED -> select(this.workers, target).restart(true);
			case WORKER_LATE -> {
				select(this.workers, target).delayCommands(true);
				schedule(durationMillis, () -> select(this.workers, target).delayCommands(false));
			}
			case DOMAIN_OUT -> {
				store.writeOperatorRow("evacuate/" + failureDomain(target), "{}");
				schedule(durationMillis, () -> store.writeOperatorRow("evacuate/" + failureDomain(target), ""));
			}
			case CONFIGURED -> writeConfiguration(store);
		}
	}

	private void schedule(long delayMillis, Runnable action) {
		this.timer.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void stopAndRestart(ServerProcess process, java.util.function.Consumer<ServerProcess> stop,
			long durationMillis) {
		stop.accept(process);
		schedule(durationMillis, () -> restart(process));
	}

	private void restart(ServerProcess process) {
		if (process.alive()) {
			// The process is still stopping, or another fault has already restarted it.
			if (process.stopRequested()) {
				schedule(200, () -> restart(process));
			}
			return;
		}
		process.start();
	}

	private void pause(ServerProcess process, long durationMillis) {
		process.signal("STOP");
		schedule(durationMillis, () -> process.signal("CONT"));
	}

	private void setStoreFault(StoreServer store, StoreServer.Fault fault, long durationMillis) {
		store.setFault(fault);
		schedule(durationMillis, () -> store.setFault(StoreServer.Fault.NONE));
	}

	private void setProxyMode(FaultProxy proxy, FaultProxy.Mode mode, long durationMillis) {
		proxy.setMode(mode);
		schedule(durationMillis, () -> proxy.setMode(FaultProxy.Mode.FORWARDING));
	}

	private void close() throws IOException {
		this.timer.shutdownNow();
		this.entries.forEach(ServerProcess::close);
		this.agents.forEach(ServerProcess::close);
		for (WorkerServer worker : this.workers) {
			worker.close();
		}
		this.storeProxies.forEach(FaultProxy::close);
		this.callerProxies.forEach(FaultProxy::close);
		this.hostProxies.forEach(FaultProxy::close);
	}

}
