package org.crocuspost.hostile;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.IntFunction;

import org.crocuspost.soak.StoreServer;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a crowd of clients that sends harmful requests neither ends a hosted program
 * nor exhausts the memory or the descriptors of its machine nor keeps ordinary callers
 * from an answer. Such clients ended a process in a trial.
 *
 * <p>
 * Each test starts one program as a process of its own. The crowd stays connected while
 * the ordinary requests are sent.
 */
class HarmfulClientTests {

	/**
	 * Connections of a crowd. The bodies of legal size that they send take more than the
	 * direct memory of the program.
	 */
	private static final int CROWD = 150;

	/**
	 * Connections of a crowd that takes more descriptors than the machine has.
	 */
	private static final int LARGE_CROWD = 300;

	private static final String SERVED = "200";

	private static final String QUEUE = "/jobs/";

	private static final String HEARTBEAT = "/v1/instances/i-7f3a91c2";

	private static final AtomicInteger ADDRESSES = new AtomicInteger();

	@TempDir
	private Path folder;

	private InetSocketAddress storeAddress = new InetSocketAddress("127.0.0.1", 1);

	private static String loopbackAddress() {
		return "127." + (10 + ProcessHandle.current().pid() % 240) + ".7." + ADDRESSES.incrementAndGet();
	}

	private static String jobId() {
		return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
	}

	private static byte[] submission(String body) {
		return OrdinaryCaller.request("POST", QUEUE + jobId(), body);
	}

	private static byte[] heartbeat() {
		return OrdinaryCaller.request("PUT", HEARTBEAT,
				"{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"zone\",\"version\":\"v1\",\"slots\":8,"
						+ "\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
						+ "\"gpus\":0},\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":482113,\"sequence\":4}");
	}

	private static String greetAsLeader(InetSocketAddress address) {
		byte[] hello = LeaderMessage.newBuilder()
			.setHello(LeaderHello.newBuilder().setEpoch(1).setLeader("entry"))
			.build()
			.toByteArray();
		try (Socket socket = new Socket()) {
			socket.connect(address, 2_000);
			socket.setSoTimeout(2_000);
			OutputStream output = socket.getOutputStream();
			output.write(ByteBuffer.allocate(4 + hello.length).putInt(hello.length).put(hello).array());
			return (new DataInputStream(socket.getInputStream()).readInt() > 0) ? SERVED : "empty frame";
		}
		catch (IOException ex) {
			return String.valueOf(ex);
		}
	}

	private StoreServer startStore(String ip) throws IOException {
		int port;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			port = socket.getLocalPort();
		}
		InetSocketAddress address = new InetSocketAddress(ip, port);
		StoreServer store = new StoreServer(address, (hostAddress) -> hostAddress);
		store.writeOperatorRow("config", """
				{"version":1,"routes":[{"name":"queue","host":"host","path_prefix":"/jobs/","service":"service",\
				"priority":0,"attempts":3,"stretch":2,"target_latency_ms":1000}],\
				"services":[{"name":"service","enforces_capacity":false}],"limits":{}}""");
		this.storeAddress = address;
		return store;
	}

	private void withProcess(String role, Scenario scenario) throws Exception {
		String ip = loopbackAddress();
		try (StoreServer store = startStore(ip);
				HostedProcess process = new HostedProcess(role, ip, this.storeAddress, this.folder)) {
			assertThat(serves(role, process, process.callers())).isEqualTo(SERVED);
			scenario.run(process);
		}
	}

	private void assertBears(String role, Function<HostedProcess, InetSocketAddress> address, int connections,
			IntFunction<Script> scripts) throws Exception {
		assertBears(role, address, connections, true, scripts);
	}

	private void assertBears(String role, Function<HostedProcess, InetSocketAddress> address, int connections,
			boolean reading, IntFunction<Script> scripts) throws Exception {
		withProcess(role, (process) -> {
			InetSocketAddress target = address.apply(process);
			OrdinaryCaller.awaitListening(target);
			assertThat(serves(role, process, target)).isEqualTo(SERVED);
			try (Crowd crowd = new Crowd(target, connections, reading, scripts)) {
				crowd.awaitSettled();
				assertUnharmed(role, process, target);
			}
		});
	}

	private static void assertUnharmed(String role, HostedProcess process, InetSocketAddress target)
			throws IOException {
		long sockets = process.openSockets();
		String served = serves(role, process, target);
		long finalSockets = process.openSockets();
		long memory = process.peakMemoryMegabytes();
		String observed = "peak memory " + memory + " MB, open sockets " + sockets + " and " + finalSockets
				+ ", ordinary requests: " + served + ", log:\n" + process.lastLogLines() + "\n";
		assertThat(process.alive()).as("the process lives; %s", observed).isTrue();
		assertThat(served).as("ordinary requests; %s", observed).isEqualTo(SERVED);
		assertThat(Math.max(sockets, finalSockets)).as("open sockets; %s", observed)
			.isLessThanOrEqualTo(HostedProcess.MAXIMUM_SOCKETS);
		assertThat(memory).as("peak memory in MB; %s", observed).isLessThanOrEqualTo(HostedProcess.MEMORY_MEGABYTES);
	}

	/**
	 * Sends the ordinary requests until each is served or has failed too often.
	 */
	private static String serves(String role, HostedProcess process, InetSocketAddress target) {
		String served = role.equals("entry") ? servesCallers(process)
				: OrdinaryCaller.repeat(process.heartbeats(), heartbeat(), SERVED);
		if (served.equals(SERVED) && target.equals(process.monitoring())) {
			return OrdinaryCaller.repeat(target, OrdinaryCaller.get("/metrics"), SERVED);
		}
		if (served.equals(SERVED) && target.equals(process.leaders())) {
			return greetAsLeader(target);
		}
		return served;
	}

	private static String servesCallers(HostedProcess process) {
		byte[] submission = submission(HarmfulRequests.blankBody(200));
		String count = OrdinaryCaller.repeat(process.callers(), OrdinaryCaller.get(QUEUE), SERVED);
		String job = count.equals(SERVED) ? OrdinaryCaller.repeat(process.callers(), submission, SERVED) : count;
		return job.equals(SERVED)
				? OrdinaryCaller.repeat(process.readiness(), OrdinaryCaller.get("/v1/readiness"), SERVED) : job;
	}

	private void assertEntryBears(IntFunction<Script> scripts) throws Exception {
		assertBears("entry", HostedProcess::callers, CROWD, scripts);
	}

	private void assertReadinessBears(IntFunction<Script> scripts) throws Exception {
		assertBears("entry", HostedProcess::readiness, CROWD, scripts);
	}

	private void assertAgentBears(IntFunction<Script> scripts) throws Exception {
		assertBears("agent", HostedProcess::heartbeats, CROWD, scripts);
	}

	private void assertMonitoringBears(IntFunction<Script> scripts) throws Exception {
		assertBears("agent", HostedProcess::monitoring, CROWD, scripts);
	}

	/**
	 * Guards against limits that refuse what the platform allows.
	 */
	@Test
	void entryServesLargestRequestsInCalm() throws Exception {
		withProcess("entry", (process) -> {
			byte[] largestBody = submission(HarmfulRequests.blankBody(HarmfulRequests.MAXIMUM_BODY_BYTES));
			assertThat(OrdinaryCaller.repeat(process.callers(), largestBody, SERVED)).isEqualTo(SERVED);
			byte[] tooLargeBody = submission(HarmfulRequests.blankBody(HarmfulRequests.MAXIMUM_BODY_BYTES + 1));
			assertThat(OrdinaryCaller.repeat(process.callers(), tooLargeBody, "413")).isEqualTo("413");
			assertThat(process.peakMemoryMegabytes()).isLessThanOrEqualTo(HostedProcess.MEMORY_MEGABYTES);
		});
	}

	@Test
	void entryServesLargestHeadsInCalm() throws Exception {
		withProcess("entry", (process) -> {
			for (int lines : new int[] { 1, 8, 64 }) {
				byte[] request = OrdinaryCaller.getWithHeaders(QUEUE, HarmfulRequests.MAXIMUM_HEAD_BYTES - 200, lines);
				assertThat(OrdinaryCaller.repeat(process.callers(), request, SERVED)).isEqualTo(SERVED);
			}
		});
	}

	@Test
	void entryBearsManyShortHeaderLines() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.manyShortHeaderLines(QUEUE + jobId()));
	}

	@Test
	void entryBearsOddHeaderLines() throws Exception {
		List<String> lines = List.of("nocolon\r\n", " \r\n", "a: b\r\n c\r\n", "a\u0001: \u0002\u007f\r\n",
				"a b: c\r\n", "\t: \t\r\n");
		assertEntryBears((number) -> HarmfulRequests.oddHeaderLines(QUEUE + jobId(), lines.get(number % lines.size())));
	}

	@Test
	void entryBearsHeaderLinesWithoutName() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oddHeaderLines(QUEUE + jobId(), ":\r\n"));
	}

	@Test
	void entryBearsHeaderLinesWithControlCharacters() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oddHeaderLines(QUEUE + jobId(), "\u0001:\r\n"));
	}

	@Test
	void entryBearsHeaderLinesWithBlankValue() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oddHeaderLines(QUEUE + jobId(), "a: \r\n"));
	}

	@Test
	void entryBearsOversizedHeaderValues() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oversizedHeaderValue(QUEUE + jobId()));
	}

	@Test
	void entryBearsOversizedPaths() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oversizedPath());
	}

	@Test
	void entryBearsOversizedHeadsOfShortLines() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.oversizedHeadOfShortLines(QUEUE + jobId()));
	}

	@Test
	void entryBearsEndlessHeaderLines() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.endlessHeaderLines(QUEUE + jobId()));
	}

	@Test
	void entryBearsEndlessHeaderValues() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.endlessHeaderValue(QUEUE + jobId()));
	}

	@Test
	void entryBearsEndlessPaths() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.endlessPath());
	}

	@Test
	void entryBearsSlowHeads() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.slowHead(QUEUE + jobId()));
	}

	@Test
	void entryBearsEmptyLinesBeforeRequest() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.emptyLines());
	}

	@Test
	void entryBearsLargeBodiesAtOnce() throws Exception {
		String body = HarmfulRequests.blankBody(HarmfulRequests.MAXIMUM_BODY_BYTES);
		assertEntryBears((number) -> HarmfulRequests.wholeBody(QUEUE + jobId(), body, 3));
	}

	@Test
	void entryBearsLargeBodiesOfManySteps() throws Exception {
		String body = HarmfulRequests.manyStepsBody();
		assertEntryBears((number) -> HarmfulRequests.wholeBody(QUEUE + jobId(), body, 1));
	}

	@Test
	void entryBearsBodiesWithoutLastByte() throws Exception {
		assertEntryBears(
				(number) -> HarmfulRequests.bodyLessOneByte(QUEUE + jobId(), HarmfulRequests.MAXIMUM_BODY_BYTES));
	}

	@Test
	void entryBearsBodiesInPieces() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.pieces(QUEUE + jobId(), number, false));
	}

	@Test
	void entryBearsChunkedBodies() throws Exception {
		assertEntryBears((number) -> HarmfulRequests.pieces(QUEUE + jobId(), number, true));
	}

	@Test
	void entryBearsIdleConnections() throws Exception {
		assertBears("entry", HostedProcess::callers, LARGE_CROWD, (number) -> HarmfulRequests.nothing());
	}

	@Test
	void entryBearsUnreadAnswers() throws Exception {
		assertBears("entry", HostedProcess::callers, CROWD, false,
				(number) -> HarmfulRequests.unreadAnswers("/unknown/", 1_000));
	}

	@Test
	void readinessBearsManyShortHeaderLines() throws Exception {
		assertReadinessBears((number) -> HarmfulRequests.manyShortHeaderLines("/v1/readiness"));
	}

	@Test
	void readinessBearsEndlessHeads() throws Exception {
		assertReadinessBears((number) -> HarmfulRequests.endlessHeaderLines("/v1/readiness"));
	}

	@Test
	void readinessBearsEmptyLinesBeforeRequest() throws Exception {
		assertReadinessBears((number) -> HarmfulRequests.emptyLines());
	}

	@Test
	void readinessBearsBodiesWithoutLastByte() throws Exception {
		assertReadinessBears(
				(number) -> HarmfulRequests.bodyLessOneByte("/v1/readiness", HarmfulRequests.MAXIMUM_BODY_BYTES));
	}

	@Test
	void readinessBearsIdleConnections() throws Exception {
		assertBears("entry", HostedProcess::readiness, LARGE_CROWD, (number) -> HarmfulRequests.nothing());
	}

	@Test
	void heartbeatsBearManyShortHeaderLines() throws Exception {
		assertAgentBears((number) -> HarmfulRequests.manyShortHeaderLines(HEARTBEAT));
	}

	@Test
	void heartbeatsBearEndlessHeads() throws Exception {
		assertAgentBears((number) -> HarmfulRequests.endlessHeaderLines(HEARTBEAT));
	}

	@Test
	void heartbeatsBearBodiesWithoutLastByte() throws Exception {
		assertAgentBears(
				(number) -> HarmfulRequests.bodyLessOneByte(HEARTBEAT, HarmfulRequests.MAXIMUM_HEARTBEAT_BYTES));
	}

	@Test
	void heartbeatsBearIdleConnections() throws Exception {
		assertBears("agent", HostedProcess::heartbeats, LARGE_CROWD, (number) -> HarmfulRequests.nothing());
	}

	@Test
	void monitoringBearsManyShortHeaderLines() throws Exception {
		assertMonitoringBears((number) -> HarmfulRequests.manyShortHeaderLines("/metrics"));
	}

	@Test
	void monitoringBearsBodiesWithoutLastByte() throws Exception {
		assertMonitoringBears(
				(number) -> HarmfulRequests.bodyLessOneByte("/metrics", HarmfulRequests.MAXIMUM_BODY_BYTES));
	}

	@Test
	void monitoringBearsUnreadAnswers() throws Exception {
		assertBears("agent", HostedProcess::monitoring, CROWD, false,
				(number) -> HarmfulRequests.unreadAnswers("/metrics", 100));
	}

	/**
	 * The agent accepts connections from leaders on a port that is meant for the programs
	 * alone, and does not know who connects.
	 */
	@Test
	void leaderPortBearsUnfinishedFrames() throws Exception {
		assertBears("agent", HostedProcess::leaders, CROWD,
				(number) -> HarmfulRequests.unfinishedFrame(HarmfulRequests.MAXIMUM_FRAME_BYTES));
	}

	@Test
	@Tag("known-red")
	void leaderPortBearsIdleConnections() throws Exception {
		assertBears("agent", HostedProcess::leaders, LARGE_CROWD, (number) -> HarmfulRequests.nothing());
	}

	@FunctionalInterface
	private interface Scenario {

		void run(HostedProcess process) throws Exception;

	}

}
