package org.crocuspost.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.error.Failure;
import org.crocuspost.hostlink.HostLink;
import org.crocuspost.lead.CandidateCapacity;
import org.crocuspost.lead.LeaderElector;
import org.crocuspost.lead.LeaderMetrics;
import org.crocuspost.lead.LeaderRecord;
import org.crocuspost.lead.TableWatchSettings;
import org.crocuspost.lead.Tables;
import org.crocuspost.net.TrafficCounters;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.PageRequest;
import org.crocuspost.rows.RowChanges;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowPage;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a number of pending jobs that lacks most of them, since no leader has
 * recorded what other entry processes accepted. A number must contain the jobs that were
 * accepted 5 s before.
 */
class PendingCountWithoutRecordsTests {

	private static final Duration VISIBLE_AFTER = Duration.ofSeconds(5);

	private static final int JOBS = 8;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final MemoryRowStore store = new MemoryRowStore();

	private final PagedStore pages = new PagedStore(this.store);

	private final EventLoop loop = new DefaultEventLoop();

	private final Entry accepting = new Entry("entry-1", this.store);

	private final Entry asked = new Entry("entry-2", this.store);

	private final Entry askedWithPages = new Entry("entry-4", this.pages);

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private void submitJobs() {
		for (int number = 0; number < JOBS; number++) {
			assertThat(this.accepting.send(JobRequest.Method.SUBMIT, "%016x".formatted(number)))
				.isInstanceOf(JobAnswer.Accepted.class);
		}
	}

	private JobAnswer count() {
		return this.asked.send(JobRequest.Method.SHOW, "");
	}

	private void writeLeaderRow(LeaderRecord record) {
		this.store.commit(
				RowTransaction.of(List.of(),
						List.of(new RowTransaction.Write(Tables.LEDGER, Tables.LEADER_KEY, record.write()))),
				(answer) -> {
				});
	}

	@Test
	void jobsOfOtherEntriesAreCountedOnceALeaderHasRecordedThem() {
		this.accepting.start();
		this.asked.start();
		this.accepting.elector.start();
		this.time.advance(Duration.ofSeconds(5));
		submitJobs();
		this.time.advance(VISIBLE_AFTER);
		assertThat(count()).isEqualTo(new JobAnswer.Pending(JOBS));
		this.time.advance(Duration.ofMinutes(1));
		assertThat(count()).isEqualTo(new JobAnswer.Pending(JOBS));
	}

	@Test
	void numberIsRefusedWithoutALeader() {
		this.accepting.start();
		this.asked.start();
		submitJobs();
		this.time.advance(VISIBLE_AFTER);
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
	}

	/**
	 * The row of a leader that has just taken over changes, although it has not read the
	 * submissions yet.
	 */
	@Test
	void numberIsRefusedWhileANewLeaderRestoresItsState() {
		this.accepting.start();
		this.asked.start();
		this.accepting.elector.start();
		this.time.advance(Duration.ofSeconds(5));
		this.accepting.elector.resign();
		submitJobs();
		for (int renewal = 0; renewal < 10; renewal++) {
			writeLeaderRow(new LeaderRecord(9, renewal, "entry-3"));
			this.time.advance(VISIBLE_AFTER.dividedBy(10));
		}
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
	}

	/**
	 * The version that the last leader recorded is still in the ledger, and no entry
	 * holds the jobs that it accepted before its restart.
	 */
	@Test
	void numberIsRefusedAfterARestartOfAllEntriesUntilALeaderHasRecordedTheirJobs() {
		this.accepting.start();
		this.accepting.elector.start();
		this.time.advance(Duration.ofSeconds(5));
		this.store.setFault(Fault.REFUSED);
		this.accepting.elector.resign();
		this.time.advance(Duration.ofMillis(100));
		this.store.setFault(Fault.NONE);
		submitJobs();
		Entry restarted = new Entry("entry-1", this.store);
		Entry other = new Entry("entry-2", this.store);
		restarted.start();
		other.start();
		this.time.advance(VISIBLE_AFTER);
		assertThat(restarted.send(JobRequest.Method.SHOW, "")).isInstanceOf(JobAnswer.Refused.class);
		assertThat(other.send(JobRequest.Method.SHOW, "")).isInstanceOf(JobAnswer.Refused.class);
		other.elector.start();
		this.time.advance(VISIBLE_AFTER);
		assertThat(restarted.send(JobRequest.Method.SHOW, "")).isEqualTo(new JobAnswer.Pending(JOBS));
		assertThat(other.send(JobRequest.Method.SHOW, "")).isEqualTo(new JobAnswer.Pending(JOBS));
	}

	/**
	 * Entries accept jobs in partitions of their own while the leader's transactions
	 * fail.
	 */
	@Test
	void numberIsRefusedWhileTheRecordsOfTheLeaderFallBehind() {
		this.accepting.start();
		this.asked.start();
		this.accepting.elector.start();
		this.time.advance(Duration.ofSeconds(5));
		submitJobs();
		this.store.setFault(Fault.REFUSED);
		this.time.advance(VISIBLE_AFTER);
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
		this.store.setFault(Fault.NONE);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(count()).isEqualTo(new JobAnswer.Pending(JOBS));
	}

	@Test
	void numberIsRefusedBeforeTheLedgerWasRead() {
		this.accepting.start();
		this.accepting.elector.start();
		submitJobs();
		this.time.advance(VISIBLE_AFTER);
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
	}

	@Test
	void numberIsRefusedOnceTheViewOfTheLedgerIsOutdated() {
		this.accepting.start();
		this.asked.start();
		this.accepting.elector.start();
		this.time.advance(Duration.ofSeconds(5));
		this.asked.ledgerWatch.close();
		submitJobs();
		this.time.advance(VISIBLE_AFTER);
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
	}

	/**
	 * A malformed row must not end the watch of the ledger, nor count as a version.
	 */
	@Test
	void numberIsRefusedIfTheRecordedVersionIsMalformed() {
		this.asked.start();
		this.store.commit(RowTransaction.of(List.of(), List
			.of(new RowTransaction.Write(Tables.LEDGER, Tables.RECORDED_SUBMISSIONS_KEY, "99999999999999999999"))),
				(answer) -> {
				});
		this.time.advance(Duration.ofSeconds(1));
		assertThat(count()).isInstanceOf(JobAnswer.Refused.class);
	}

	/**
	 * The first page of the ledger is read before a leader records the jobs, and the
	 * second one after it. Until the changes are read, the entry knows neither.
	 */
	@Test
	void numberIsRefusedIfALeaderRecordsBetweenTwoPagesOfTheLedger() {
		this.accepting.start();
		submitJobs();
		writeLeaderRow(new LeaderRecord(1, 0, "entry-3"));
		writeProgress("e".repeat(16), "COMPLETED 0 other");
		writeProgress("f".repeat(16), "COMPLETED 0 other");
		this.time.advance(VISIBLE_AFTER);
		this.pages.betweenPages = () -> {
			for (int number = 0; number < JOBS; number++) {
				writeProgress("%016x".formatted(number), "QUEUED 0 queue");
			}
			this.store.commit(
					RowTransaction.of(List.of(),
							List.of(new RowTransaction.Write(Tables.LEDGER, Tables.RECORDED_SUBMISSIONS_KEY, "100"))),
					(answer) -> {
					});
		};
		this.askedWithPages.start();
		assertThat(this.askedWithPages.send(JobRequest.Method.SHOW, "")).isInstanceOf(JobAnswer.Refused.class);
	}

	private void writeProgress(String job, String row) {
		this.store.commit(
				RowTransaction.of(List.of(),
						List.of(new RowTransaction.Write(Tables.LEDGER, Tables.PROGRESS_PREFIX + job, row))),
				(answer) -> {
				});
	}

	/**
	 * Returns tables in pages of two rows, each as of another moment.
	 */
	private static final class PagedStore implements RowStore {

		private static final int PAGE_ROWS = 2;

		private final MemoryRowStore rows;

		private @Nullable Runnable betweenPages;

		private PagedStore(MemoryRowStore rows) {
			this.rows = rows;
		}

		@Override
		public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
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
			this.rows.scan(request, (result) -> {
				RowPage whole = result.get();
				List<StoredRow> page = whole.rows().stream().limit(PAGE_ROWS).toList();
				if (this.betweenPages != null) {
					this.betweenPages.run();
					this.betweenPages = null;
				}
				answer.accept(Either.right(new RowPage(page, whole.complete() && page.size() == whole.rows().size(),
						whole.storeVersion())));
			});
		}

		@Override
		public void changes(String table, long afterVersion, Duration maximumWait,
				Consumer<Either<Failure, RowChanges>> answer) {
			// The answer to the first call after the table is lost.
		}

	}

	/**
	 * Entry process without sockets, which is a candidate for the leadership.
	 */
	private final class Entry {

		private final RowWatch ledgerWatch;

		private final LeaderElector elector;

		private final JobService service;

		private Entry(String name, RowStore ledger) {
			PendingCountWithoutRecordsTests test = PendingCountWithoutRecordsTests.this;
			AtomicReference<RowWatch> watchReference = new AtomicReference<>();
			AtomicReference<LeaderElector> electorReference = new AtomicReference<>();
			JobDirectory directory = new JobDirectory((row) -> electorReference.get().leaderRowChanged(row),
					new AdmissionControl(test.time),
					(recordedSubmissions) -> LedgerView.of(watchReference.get(), recordedSubmissions));
			this.ledgerWatch = new RowWatch(ledger, Tables.LEDGER, TableWatchSettings.LEDGER_WATCH, directory,
					test.time, test.time);
			watchReference.set(this.ledgerWatch);
			FixedOperator operator = new FixedOperator();
			this.elector = new LeaderElector(name, CandidateCapacity.AMPLE, test.store, this.ledgerWatch, operator,
					new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(2), 1.5),
					new LeaderMetrics(new PrometheusRegistry()), new TrafficCounters(new PrometheusRegistry()),
					HostLink.connector(new TrafficCounters(new PrometheusRegistry()), test.loop, test.time, test.time),
					test.time, test.time, test.time.nanoTime());
			electorReference.set(this.elector);
			this.service = new JobService(test.store, operator, directory, new IngressMetrics(new PrometheusRegistry()),
					test.time, test.time);
		}

		private void start() {
			this.ledgerWatch.start();
		}

		private JobAnswer send(JobRequest.Method method, String id) {
			List<JobAnswer> answers = new ArrayList<>();
			this.service.handle(new JobRequest(method, "host", "/queue/" + id,
					() -> Either.right(JobServiceTests.specification()), Optional.empty()), answers::add);
			assertThat(answers).hasSize(1);
			return answers.get(0);
		}

	}

}
