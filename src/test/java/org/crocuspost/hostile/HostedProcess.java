package org.crocuspost.hostile;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.crocuspost.platform.hosted.HostedMain;

/**
 * Hosted program that runs as a process of its own with the flags of the deployment,
 * except for a smaller heap.
 */
final class HostedProcess implements AutoCloseable {

	/**
	 * Maximum heap, in MiB. Direct buffers have the same limit, as in the deployment.
	 */
	private static final int HEAP_MEBIBYTES = 32;

	/**
	 * Memory of the machine, in MB. The smallest entry host of the platform has 160 MB
	 * for a heap of 96 MB, and the smallest host of a worker 128 MB for 64 MB. Both leave
	 * 64 MB for the rest, which makes 96 MB with this heap. A program that runs from
	 * class folders has no class-data archive, and needs 16 MB more when it is idle.
	 */
	static final int MEMORY_MEGABYTES = 96 + 16;

	/**
	 * Descriptors of the machine. The platform reserves 200 of them for files, and the
	 * others for sockets and pipes.
	 */
	private static final int MAXIMUM_DESCRIPTORS = 400;

	static final int MAXIMUM_SOCKETS = MAXIMUM_DESCRIPTORS - 200;

	/**
	 * Port that the program prescribes.
	 */
	private static final int MONITORING_PORT = 9_100;

	private final String ip;

	private final int callerPort;

	private final int readinessPort;

	private final int heartbeatPort;

	private final int internalPort;

	private final Path log;

	private final Process process;

	HostedProcess(String role, String ip, InetSocketAddress store, Path folder) throws IOException {
		this.ip = ip;
		this.callerPort = freePort();
		this.readinessPort = freePort();
		this.heartbeatPort = freePort();
		this.internalPort = freePort();
		this.log = folder.resolve(role + ".log");
		Path settings = folder.resolve(role + ".conf");
		Files.writeString(settings, settings(store));
		List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString(),
				"-Xmx" + HEAP_MEBIBYTES + "m", role.equals("entry") ? "-Xms24m" : "-Xms16m", "-Xss256k",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ExitOnOutOfMemoryError",
				"-Dio.netty.machineId=00:00:00:00:00:00:00:01", "-Dio.netty.processId=1",
				"-Dio.netty.leakDetection.level=disabled", "-cp", System.getProperty("java.class.path"),
				HostedMain.class.getName(), role));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.log.toFile());
		builder.environment().put("CROCUSPOST_SETTINGS", settings.toString());
		// The platform sets this variable, too.
		builder.environment().put("MALLOC_ARENA_MAX", "1");
		this.process = builder.start();
	}

	private int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(this.ip))) {
			return socket.getLocalPort();
		}
	}

	private String settings(InetSocketAddress store) {
		return """
				node_name=host
				ip=%1$s
				zone=zone
				listen_addrs.frontend_addr=%1$s:%2$d
				listen_addrs.readiness_addr=%1$s:%3$d
				listen_addrs.control_plane=%1$s:%4$d
				port_range=%5$d,%5$d
				app=%1$s:1
				limits.cpu_share=0.3
				limits.cpu_cores=1
				limits.link_mbps=1000
				limits.memory_mb=%6$d
				limits.max_fds=%7$d
				heartbeat_ms=1500
				platform.address=%8$s:%9$d
				platform.row_bytes=65536
				bounds.max_hold_ms=6000
				bounds.stop_timeout_ms=200
				bounds.grace_s=6
				bounds.remote_penalty=1.5
				bounds.interference_ms=4000
				bounds.cancel_ms=3000
				bounds.status_s=120
				""".formatted(this.ip, this.callerPort, this.readinessPort, this.heartbeatPort, this.internalPort,
				MEMORY_MEGABYTES, MAXIMUM_DESCRIPTORS, store.getHostString(), store.getPort());
	}

	InetSocketAddress callers() {
		return new InetSocketAddress(this.ip, this.callerPort);
	}

	InetSocketAddress readiness() {
		return new InetSocketAddress(this.ip, this.readinessPort);
	}

	InetSocketAddress heartbeats() {
		return new InetSocketAddress(this.ip, this.heartbeatPort);
	}

	InetSocketAddress leaders() {
		return new InetSocketAddress(this.ip, this.internalPort);
	}

	InetSocketAddress monitoring() {
		return new InetSocketAddress(this.ip, MONITORING_PORT);
	}

	boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * Returns the largest resident memory that the process has had.
	 * @return the memory in MB; -1 if the process has ended
	 */
	long peakMemoryMegabytes() throws IOException {
		if (!alive()) {
			return -1;
		}
		try (Stream<String> lines = Files.lines(procFolder().resolve("status"))) {
			return lines.filter((line) -> line.startsWith("VmHWM:"))
				.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024 / 1_000_000)
				.findFirst()
				.orElseThrow();
		}
	}

	/**
	 * Counts the open sockets and pipes of the process.
	 * @return the number of descriptors; -1 if the process has ended
	 */
	long openSockets() throws IOException {
		if (!alive()) {
			return -1;
		}
		long count = 0;
		try (Stream<Path> descriptors = Files.list(procFolder().resolve("fd"))) {
			for (Path descriptor : descriptors.toList()) {
				count += isSocket(descriptor) ? 1 : 0;
			}
		}
		return count;
	}

	private static boolean isSocket(Path descriptor) {
		try {
			String target = Files.readSymbolicLink(descriptor).toString();
			return target.startsWith("socket:") || target.startsWith("pipe:");
		}
		catch (IOException ex) {
			// The descriptor was closed after it had been listed.
			return false;
		}
	}

	private Path procFolder() {
		return Path.of("/proc", String.valueOf(this.process.pid()));
	}

	/**
	 * Returns the last lines that the process has written.
	 * @return the lines
	 */
	String lastLogLines() throws IOException {
		List<String> lines = Files.readAllLines(this.log);
		return String.join("\n", lines.subList(Math.max(0, lines.size() - 15), lines.size()));
	}

	@Override
	public void close() throws IOException {
		this.process.destroyForcibly();
		try {
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
