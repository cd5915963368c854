package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.SubmissionCodec;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.WorkerDescription;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a row by another writer that keeps a leader, and each of its successors,
 * from assigning the tasks of all jobs or from renewing its leadership.
 */
class MalformedRowTests {

	private static final LeaderRecord RECORD = new LeaderRecord(5, 0, "entry-1");

	static final String HOST = "host-1";

	private static final List<String> GOOD_JOBS = List.of("3333333333333333", "cccccccccccccccc");

	/**
	 * Jobs in the order of their rows: one before, between and after the good ones.
	 */
	private static final List<String> OTHER_JOBS = List.of("0000000000000000", "8888888888888888", "ffffffffffffffff");

	private static final String NESTED = "[".repeat(100_000);

	private static final String LARGE = "1" + "0".repeat(999);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final MemoryRowStore store = new MemoryRowStore();

	private final EventLoop loop = new DefaultEventLoop();

	private Queue queue = new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ofSeconds(1), false);

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	static Stream<Arguments> submissions() {
		String good = submission(OTHER_JOBS.get(0));
		return OTHER_JOBS.stream()
			.flatMap((id) -> Stream
				.of("", "{", "null", NESTED, "{\"steps\":" + NESTED,
						good.replace("\"queue\":\"queue\"", "\"queue\":{}"), with("accepted", "-9223372036854775808"),
						with("accepted", "1e400"), with("accepted", LARGE), with("estimate", "9223372036854775807"),
						with("estimate", "-9223372036854775808"), with("estimate", "10000000000000000"),
						with("estimate", "1e400"), with("estimate", LARGE), with("tailTarget", "9223372036854775807"),
						with("tailTarget", "1e400"), with("tailTarget", "-9223372036854775808"),
						with("milliCores", "1e400"), with("milliCores", LARGE), with("milliCores", "2147483648"),
						with("milliCores", "\"many\""), with("memory", "-1"), with("accelerators", "1e400"),
						with("tasks", "1e400"), with("tasks", "0"), with("occurrences", "1e400"),
						with("occurrences", "0"), with("perWorker", "-2147483648"), with("unavailable", "1e400"),
						with("after", "[1e400]"), with("after", NESTED))
				.map((value) -> Arguments.of(id, value)));
	}

	private static String with(String field, String value) {
		String good = submission(OTHER_JOBS.get(0));
		String changed = good.replaceFirst("\"" + field + "\":(\\[\\]|-?\\d+)", "\"" + field + "\":" + value);
		assertThat(changed).isNotEqualTo(good);
		return changed;
	}

	@ParameterizedTest
	@MethodSource("submissions")
	void oddSubmissionDoesNotKeepOtherJobsFromBeingAssigned(String id, String value) {
		writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, value);
		assertThatGoodJobsAreAssigned();
	}

	@ParameterizedTest
	@MethodSource("submissions")
	void oddSubmissionThatArrivesLaterDoesNotKeepOtherJobsFromBeingAssigned(String id, String value) {
		Leader leader = startLeader();
		writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, value);
		GOOD_JOBS.forEach((job) -> writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + job, submission(job)));
		assertThatGoodJobsAreAssigned(leader);
	}

	static Stream<Arguments> otherRows() {
		return Stream
			.of(Stream
				.of("0", "host-1:0", "host-1:-1", "127.0.0.1:70000", "127.0.0.1:99999999999", "127.0.0.1", ":1",
						"127.0.0.1:", "", NESTED)
				.map((address) -> Arguments.of(Tables.INTAKE, Tables.HOST_PREFIX + "odd", address)),
					Stream.of("", "w", "w 1 2 3 4", "w 99999999999999999999 1 a", "w x 1 a", NESTED)
						.map((departure) -> Arguments.of(Tables.INTAKE, Tables.DEPARTURE_PREFIX + "odd", departure)),
					Stream.of("", "a", "a b", "% 1", "%zz 1", "a 1e400", "a NaN", "a -1", NESTED)
						.map((images) -> Arguments.of(Tables.MODEL, Tables.IMAGES_KEY, images)),
					Stream.of("", "ACTIVE", "NONE 0 queue", "ACTIVE x queue", "COMPLETED 99999999999999999999 queue",
							"COMPLETED -9223372036854775808 queue", "ACTIVE 0 queue\n0 0", "ACTIVE 0 queue\n9 9 9 x")
						.map((progress) -> Arguments.of(Tables.LEDGER, Tables.PROGRESS_PREFIX + OTHER_JOBS.get(0),
								progress)),
					Stream
						.of("", "x", "-1 1 0 h w 0 -", "99 1 0 h w 0 -", "1 99999999999 0 h w 0 -",
								"1 2147483647 0 - - 0 -", "0 2147483647 0 - - 0 -", "1 -5 -5 h w -9 -")
						.map((task) -> Arguments.of(Tables.TASKS, OTHER_JOBS.get(0) + ".0.0.0", task)),
					Stream
						.of("", "x", "0.0.0", OTHER_JOBS.get(0) + ".0.0.99999999999", OTHER_JOBS.get(0) + ".0.-1.0",
								OTHER_JOBS.get(0) + ".0.2147483647.0")
						.map((key) -> Arguments.of(Tables.TASKS, key, "0 1 0 - - 0 -")))
			.flatMap((rows) -> rows);
	}

	@ParameterizedTest
	@MethodSource("otherRows")
	void oddRowOfAnotherTableDoesNotKeepOtherJobsFromBeingAssigned(String table, String key, String value) {
		String id = OTHER_JOBS.get(0);
		writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, submission(id));
		writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + id, new JobSummary("queue", JobState.ACTIVE, 0).write());
		writeRow(table, key, value);
		assertThatGoodJobsAreAssigned();
	}

	@ParameterizedTest
	@CsvSource({ "2, 9223372036854775807", "2, -9223372036854775808", "Infinity, 0", "-Infinity, 0", "1e300, 0",
			"-1e300, 9223372036854775807", "NaN, 0" })
	void oddObjectiveOfAQueueDoesNotKeepItsJobsFromBeingAssigned(double stretch, long targetLatencyMillis) {
		this.queue = new Queue("queue", "host", "/queue/", "service", 0, 2, stretch,
				Duration.ofMillis(targetLatencyMillis), false);
		assertThatGoodJobsAreAssigned();
	}

	static Stream<String> malformedAddresses() {
		return Stream.of("", "host-1:7400", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:70000",
				"127.0.0.1:99999999999", ":7400", NESTED);
	}

	/**
	 * Guards against a host that is lost, since another writer has overwritten its
	 * address, and against a name that the event loop would have to resolve.
	 */
	@ParameterizedTest
	@MethodSource("malformedAddresses")
	void malformedAddressDoesNotReplaceTheOneInUse(String malformed) {
		writeRow(Tables.INTAKE, Tables.HOST_PREFIX + "a", "127.0.0.1:1");
		writeRow(Tables.INTAKE, Tables.HOST_PREFIX + "m", malformed);
		writeRow(Tables.INTAKE, Tables.HOST_PREFIX + "z", "127.0.0.1:2");
		Leader leader = startLeader();
		try {
			this.time.advance(Duration.ofMillis(500));
			assertThat(leader.linkedHosts()).containsOnlyKeys("a", "z");
			writeRow(Tables.INTAKE, Tables.HOST_PREFIX + "a", malformed);
			this.time.advance(Duration.ofSeconds(3));
			assertThat(leader.linkedHosts()).containsEntry("a", "127.0.0.1:1").containsEntry("z", "127.0.0.1:2");
		}
		finally {
			leader.close();
		}
	}

	private void assertThatGoodJobsAreAssigned() {
		GOOD_JOBS.forEach((id) -> writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, submission(id)));
		assertThatGoodJobsAreAssigned(startLeader());
	}

	private void assertThatGoodJobsAreAssigned(Leader leader) {
		try {
			this.time.advance(Duration.ofMillis(500));
			leader.connectionChanged(HOST, true);
			for (int report = 0; report < 6; report++) {
				leader.reportReceived(report());
				this.time.advance(Duration.ofMillis(500));
			}
			for (String id : GOOD_JOBS) {
				assertThat(this.store.row(Tables.TASKS, new TaskKey(id, 0, 0, 0).toString()).value())
					.startsWith(TaskStatus.PLACED.ordinal() + " ");
			}
			String before = this.store.row(Tables.LEDGER, Tables.LEADER_KEY).value();
			this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT);
			assertThat(this.store.row(Tables.LEDGER, Tables.LEADER_KEY).value()).isNotEqualTo(before);
		}
		finally {
			leader.close();
		}
	}

	static HostReport report() {
		return HostReport.newBuilder()
			.setHost(HOST)
			.setLife("1")
			.setLeaseStamp(1)
			.setWorkerAnswers(true)
			.setWorker(WorkerDescription.newBuilder()
				.setId("worker")
				.setBorn(1)
				.setService("service")
				.setFailureDomain("domain")
				.setMilliCores(16_000)
				.setMemoryMegabytes(64_000))
			.build();
	}

	private static String submission(String id) {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ofSeconds(1), List.of(), false, false,
				false, "", "", 0, false, false, "", Duration.ZERO, false, -1);
		return SubmissionCodec.write(new JobSubmission(id, "queue", Duration.ofHours(1).toMillis(),
				new JobSpecification("text", List.of(step), 1, false, 0, 0)));
	}

	private void writeRow(String table, String key, String value) {
		this.store.commit(RowTransaction.of(List.of(), List.of(new RowTransaction.Write(table, key, value))),
				(answer) -> {
				});
	}

	private Leader startLeader() {
		writeRow(Tables.LEDGER, Tables.LEADER_KEY, RECORD.write());
		return new Leader(this.store, RECORD, this.store.row(Tables.LEDGER, Tables.LEADER_KEY).version(),
				new FormerLeader(4, "entry-2"), Optional.empty(),
				FormerExtensions.of(RECORD, Optional.empty(), 0, OptionalLong.empty()), new OneQueueView(this.queue),
				new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(2), 1.5),
				new LeaderMetrics(new PrometheusRegistry()), new TrafficCounters(new PrometheusRegistry()),
				HostLink.connector(new TrafficCounters(new PrometheusRegistry()), this.loop, this.time, this.time),
				this.time, this.time, () -> {
				});
	}

}
