package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.SubmissionCodec;
import org.crocuspost.job.TaskKey;
import org.crocuspost.log.RecentEvents;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a leader processes the tables when the store loses its history or answers
 * late.
 */
class LeaderTests {

	private static final String ENDED_JOB = "0123456789abcdef";

	private static final String WAITING_JOB = "fedcba9876543210";

	private static final LeaderRecord RECORD = new LeaderRecord(5, 0, "entry-1");

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final HistoryLosingStore store = new HistoryLosingStore();

	private final EventLoop loop = new DefaultEventLoop();

	private void writeRow(String table, String key, String value) {
		this.store.commit(RowTransaction.of(List.of(), List.of(new RowTransaction.Write(table, key, value))),
				(answer) -> {
				});
	}

	private void submitJob(String id) {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, false, "", Duration.ZERO, false, -1);
		JobSubmission submission = new JobSubmission(id, "queue", 0,
				new JobSpecification("text", List.of(step), 1, false, 0, 0));
		writeRow(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, SubmissionCodec.write(submission));
	}

	private Leader startLeader() {
		return startLeader(new EmptyOperatorView());
	}

	private Leader startLeader(OperatorView view) {
		writeRow(Tables.LEDGER, Tables.LEADER_KEY, RECORD.write());
		return new Leader(this.store, RECORD, this.store.rows.row(Tables.LEDGER, Tables.LEADER_KEY).version(),
				new FormerLeader(4, "entry-2"), Optional.empty(),
				new FormerExtensions(0, 0, OptionalLong.of(0), FormerExtensions.Basis.TAKEOVER), view,
				new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(2), 1.5),
				new LeaderMetrics(new PrometheusRegistry()), new TrafficCounters(new PrometheusRegistry()),
				HostLink.connector(new TrafficCounters(new PrometheusRegistry()), this.loop, this.time, this.time),
				this.time, this.time, () -> {
				});
	}

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	/**
	 * Guards against leases that lapse after an outage, since the transaction that was
	 * retried through it rests on an answer from before.
	 */
	@Test
	void leaderRenewsItsDeadlineImmediatelyAfterAnOutage() {
		this.store.rows.setClock(this.time::millis);
		startLeader();
		this.time.advance(Duration.ofSeconds(2));
		this.store.rows.setFault(Fault.REFUSED);
		this.time.advance(Duration.ofSeconds(15));
		this.store.rows.setFault(Fault.NONE);
		this.time.advance(Duration.ofMillis(400));
		long holderMillis = LeaderRecord.read(this.store.rows.row(Tables.LEDGER, Tables.LEADER_KEY).value())
			.deadlines()
			.orElseThrow()
			.holderMillis();
		assertThat(holderMillis).isGreaterThan(this.time.millis() + 12_000);
	}

	/**
	 * Guards against starting an ended job again. The store loses its history while the
	 * removal of the job is unanswered, so the job is read again after the leader has
	 * dropped it.
	 */
	@Test
	void endedJobIsNotStartedAgainWhenReadDuringItsRemoval() {
		submitJob(ENDED_JOB);
		writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB,
				new JobSummary("queue", JobState.COMPLETED, 0).write());
		submitJob(WAITING_JOB);
		startLeader();
		this.store.rows.setFault(Fault.LATE);
		this.time.advance(Duration.ofMillis(50));
		this.store.historyLost = true;
		this.time.advance(Duration.ofMillis(50));
		this.store.rows.setFault(Fault.NONE);
		this.store.rows.applyHeld();
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB).exists()).isTrue();
		assertThat(this.store.rows.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ENDED_JOB).exists()).isFalse();
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB).value()).isEmpty();
	}

	/**
	 * The mark of a rejected job is no job, and is removed on condition of its version
	 * only. Guards against a mark that stays for ever, and against a run of a rejected
	 * job.
	 */
	@Test
	void markOfARejectedJobIsRemovedAndItsJobIsNotRecorded() {
		String key = Tables.JOB_PREFIX + ENDED_JOB;
		writeRow(Tables.SUBMISSIONS, key, new RejectionMark(0).write());
		submitJob(WAITING_JOB);
		startLeader();
		this.time.advance(Duration.ofSeconds(110));
		assertThat(this.store.rows.row(Tables.SUBMISSIONS, key).exists()).isTrue();
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB).exists()).isTrue();
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB).exists()).isFalse();
		this.time.advance(Duration.ofSeconds(30));
		assertThat(this.store.rows.row(Tables.SUBMISSIONS, key).exists()).isFalse();
	}

	/**
	 * Guards against a leader that sends a transaction again for ever that the store
	 * rejects for its size, so that nothing is recorded any more.
	 */
	@Test
	void rejectedTransactionIsRecordedInSmallerParts() {
		for (int number = 0; number < 100; number++) {
			submitJob("%016x".formatted(number));
			writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + "%016x".formatted(number),
					new JobSummary("queue", JobState.COMPLETED, 0).write());
		}
		submitJob(WAITING_JOB);
		this.store.maximumEntries = 8;
		startLeader();
		this.time.advance(Duration.ofSeconds(60));
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB).exists()).isTrue();
		for (int number = 0; number < 100; number++) {
			assertThat(this.store.rows.row(Tables.INTAKE, Tables.JOB_PREFIX + "%016x".formatted(number)).exists())
				.isFalse();
		}
	}

	/**
	 * Guards against the loss of the leadership, and of all other changes, because of one
	 * row that the store never accepts.
	 */
	@Test
	void rowThatIsAlwaysRejectedDelaysNothingElse() {
		for (int number = 0; number < 10; number++) {
			submitJob("%016x".formatted(number));
		}
		submitJob(WAITING_JOB);
		this.store.rejectedKey = Tables.PROGRESS_PREFIX + WAITING_JOB;
		startLeader();
		this.time.advance(Duration.ofSeconds(10));
		for (int number = 0; number < 10; number++) {
			assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + "%016x".formatted(number)).exists())
				.isTrue();
		}
		String before = this.store.rows.row(Tables.LEDGER, Tables.LEADER_KEY).value();
		this.time.advance(LeadershipTimings.TAKEOVER_TIMEOUT);
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.LEADER_KEY).value()).isNotEqualTo(before);
		this.store.rejectedKey = "";
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB).exists()).isTrue();
	}

	/**
	 * Guards against tasks that run again after a takeover, since they were recorded and
	 * started although the store rejected the row of their job.
	 */
	@Test
	void taskIsRecordedOnlyAfterTheRejectedRowOfItsJob() {
		for (int number = 0; number < 10; number++) {
			submitJob("%016x".formatted(number));
		}
		submitJob(WAITING_JOB);
		this.store.rejectedKey = Tables.PROGRESS_PREFIX + WAITING_JOB;
		Leader leader = startLeader(new OneQueueView(
				new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ofSeconds(1), false)));
		this.time.advance(Duration.ofMillis(500));
		leader.connectionChanged(MalformedRowTests.HOST, true);
		for (int report = 0; report < 6; report++) {
			leader.reportReceived(MalformedRowTests.report());
			this.time.advance(Duration.ofMillis(500));
		}
		for (int number = 0; number < 10; number++) {
			assertThat(taskRow("%016x".formatted(number)).exists()).isTrue();
		}
		assertThat(taskRow(WAITING_JOB).exists()).isFalse();
		this.store.rejectedKey = "";
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB).exists()).isTrue();
		assertThat(taskRow(WAITING_JOB).exists()).isTrue();
		leader.close();
	}

	/**
	 * Guards against an ended job that starts again after a takeover: its state was
	 * removed while its submission was still whole.
	 */
	@Test
	void stateOfAnEndedJobIsKeptUntilItsSubmissionIsReduced() {
		submitJob(ENDED_JOB);
		writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB,
				new JobSummary("queue", JobState.COMPLETED, 0).write());
		this.store.unavailableTable = Tables.SUBMISSIONS;
		Leader leader = startLeader();
		this.time.advance(Duration.ofSeconds(5));
		assertThat(submissionRow(ENDED_JOB).value()).startsWith("{");
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB).exists()).isTrue();
		this.store.unavailableTable = "";
		this.time.advance(Duration.ofSeconds(5));
		assertThat(submissionRow(ENDED_JOB).exists()).isFalse();
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB).exists()).isFalse();
		leader.close();
	}

	/**
	 * Guards against a job that begins anew although its tasks have run: a row of it
	 * can't be read, and its submission is read once more.
	 */
	@ParameterizedTest
	@CsvSource({ "ACTIVE 0 queue, malformed", "ACTIVE 0 queue, '{\"status\":\"UNKNOWN_TO_THIS_VERSION\",\"run\":3}'",
			"malformed, '2 3 0 host worker 17 -'" })
	void jobThatCannotBeReadDoesNotBeginAnewWhenItsSubmissionIsReadAgain(String jobRow, String taskRow) {
		submitJob(ENDED_JOB);
		submitJob(WAITING_JOB);
		writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB, jobRow);
		writeRow(Tables.TASKS, new TaskKey(ENDED_JOB, 0, 0, 0).toString(), taskRow);
		Leader leader = startLeader(new OneQueueView(
				new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ofSeconds(1), false)));
		this.time.advance(Duration.ofMillis(500));
		this.store.historyLost = true;
		leader.connectionChanged(MalformedRowTests.HOST, true);
		for (int report = 0; report < 6; report++) {
			leader.reportReceived(MalformedRowTests.report());
			this.time.advance(Duration.ofMillis(500));
		}
		submitJob(ENDED_JOB);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(taskRow(WAITING_JOB).exists()).isTrue();
		assertThat(taskRow(ENDED_JOB).value()).isEqualTo(taskRow);
		assertThat(this.store.rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + ENDED_JOB).value()).isEqualTo(jobRow);
		leader.close();
	}

	/**
	 * Guards against a takeover of which the log does not tell for how many hosts the
	 * leader may have to wait.
	 */
	@Test
	void restoredStateIsLoggedWithTheInheritedRuns() {
		submitJob(WAITING_JOB);
		writeRow(Tables.LEDGER, Tables.PROGRESS_PREFIX + WAITING_JOB,
				new JobSummary("queue", JobState.ACTIVE, 0).write());
		writeRow(Tables.TASKS, new TaskKey(WAITING_JOB, 0, 0, 0).toString(), "2 3 0 host worker 17 -");
		long before = RecentEvents.after(0).stream().mapToLong(RecentEvents.Line::sequence).max().orElse(0);
		Leader leader = startLeader();
		this.time.advance(InheritedRunsLog.DELAY.plusMillis(500));
		leader.close();
		assertThat(RecentEvents.after(before)).map(RecentEvents.Line::fields)
			.anySatisfy((fields) -> assertThat(fields).containsEntry("event", "state-restored")
				.containsEntry("inheritedRuns", "1")
				.containsEntry("hostsWithInheritedRuns", "1")
				.containsKey("sinceTakeoverMillis"))
			.anySatisfy((fields) -> assertThat(fields).containsEntry("event", "inherited-hosts-checked")
				.containsEntry("withoutReport", "1")
				.containsEntry("hosts", "[host]"));
	}

	/**
	 * Guards against a leader that goes on to renew its row, starts nothing and logs only
	 * the first of its failed reads.
	 */
	@ParameterizedTest
	@CsvSource({ "tasks, false", "submissions, false", "ledger, true" })
	void leaderTellsWhichTableItReadsUntilItsStateIsRestored(String table, boolean silent) {
		submitJob(WAITING_JOB);
		this.store.unreadableTable = table;
		this.store.silent = silent;
		long before = lastLine();
		Leader leader = startLeader();
		this.time.advance(Duration.ofSeconds(5));
		List<Map<String, String>> lines = lines(before, "state-not-restored");
		assertThat(lines).hasSize(2);
		assertThat(lines.get(1)).containsEntry("table", table).containsEntry("sinceTakeoverMillis", "4000");
		if (silent) {
			assertThat(lines.get(1)).containsEntry("failures", "0").containsEntry("sinceAnswerMillis", "4000");
		}
		else {
			assertThat(Integer.parseInt(lines.get(1).get("failures"))).isGreaterThan(10);
			assertThat(lines.get(1).get("reason")).contains("table");
		}
		assertThat(lines(before, "state-restored")).isEmpty();
		this.store.unreadableTable = "";
		this.time.advance(Duration.ofSeconds(5));
		assertThat(lines(before, "state-restored")).hasSize(silent ? 0 : 1);
		assertThat(lines(before, "state-not-restored")).hasSize(silent ? 5 : 2);
		assertThat(lines(before, "submissions-delayed")).isEmpty();
		leader.close();
	}

	/**
	 * Guards against a leader that no longer reads accepted jobs, and logs only the first
	 * failure.
	 */
	@Test
	void submissionsThatAreNotReadAreLogged() {
		Leader leader = startLeader();
		this.time.advance(Duration.ofSeconds(2));
		long before = lastLine();
		this.store.unwatchableTable = Tables.SUBMISSIONS;
		this.time.advance(Duration.ofSeconds(6));
		assertThat(lines(before, "submissions-delayed")).hasSize(2).last().satisfies((fields) -> {
			assertThat(Integer.parseInt(fields.get("ageMillis"))).isGreaterThanOrEqualTo(4_900);
			assertThat(Integer.parseInt(fields.get("failures"))).isGreaterThan(10);
		});
		leader.close();
	}

	private static long lastLine() {
		return RecentEvents.after(0).stream().mapToLong(RecentEvents.Line::sequence).max().orElse(0);
	}

	private static List<Map<String, String>> lines(long before, String event) {
		return RecentEvents.after(before)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> event.equals(fields.get("event")))
			.toList();
	}

	private StoredRow submissionRow(String job) {
		return this.store.rows.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + job);
	}

	private StoredRow taskRow(String job) {
		return this.store.rows.row(Tables.TASKS, new TaskKey(job, 0, 0, 0).toString());
	}

	/**
	 * In-memory store that can lose its history and limits the entries of a transaction.
	 */
	private static final class HistoryLosingStore implements RowStore {

		private final MemoryRowStore rows = new MemoryRowStore();

		private boolean historyLost;

		private int maximumEntries = 100;

		private String rejectedKey = "";

		private String unavailableTable = "";

		private String unreadableTable = "";

		private String unwatchableTable = "";

		private boolean silent;

		@Override
		public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
			if (transaction.writes().size() + transaction.removals().size() > this.maximumEntries) {
				answer.accept(Either.left(ErrorCode.STORE_REJECTED.with("too many entries")));
				return;
			}
			if (transaction.writes().stream().anyMatch((write) -> write.key().equals(this.rejectedKey))) {
				answer.accept(Either.left(ErrorCode.STORE_REJECTED.with("row")));
				return;
			}
			if (transaction.writes().stream().anyMatch((write) -> write.table().equals(this.unavailableTable))) {
				answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("table")));
				return;
			}
			this.rows.commit(transaction, answer);
		}

		@Override
		public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
			this.rows.read(table, key, answer);
		}

		@Override
		public int partitions(String table) {
			return this.rows.partitions(table);
		}

		@Override
		public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
			if (!request.table().equals(this.unreadableTable)) {
				this.rows.scan(request, answer);
			}
			else if (!this.silent) {
				answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("table")));
			}
		}

		@Override
		public void changes(String table, long afterVersion, Duration maximumWait,
				Consumer<Either<Failure, RowChanges>> answer) {
			if (table.equals(this.unwatchableTable)) {
				answer.accept(Either.left(ErrorCode.STORE_UNAVAILABLE.with("table")));
				return;
			}
			if (this.historyLost) {
				this.historyLost = false;
				answer.accept(Either.right(RowChanges.HISTORY_LOST));
			}
			else {
				this.rows.changes(table, afterVersion, maximumWait, answer);
			}
		}

	}

	private static final class EmptyOperatorView implements OperatorView {

		@Override
		public Optional<QueueConfiguration> configuration() {
			return Optional.empty();
		}

		@Override
		public Set<String> evacuatedDomains() {
			return Set.of();
		}

		@Override
		public Duration age() {
			return Duration.ZERO;
		}

	}

}
