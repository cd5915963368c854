package org.crocuspost.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.lead.Tables;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the answers to callers agree with what is stored.
 */
class JobServiceTests {

	private static final String ID = "0123456789abcdef";

	private final MemoryRowStore store = new MemoryRowStore();

	private final FixedOperator operator = new FixedOperator();

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final JobDirectory directory = new JobDirectory((row) -> {
	}, new AdmissionControl(this.time), (recordedSubmissions) -> new LedgerView(true, 1, Duration.ZERO, Duration.ZERO));

	private final JobService service = new JobService(this.store, this.operator, this.directory,
			new IngressMetrics(new PrometheusRegistry()), this.time, this.time);

	static JobSpecification specification() {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, false, "", Duration.ZERO, false, -1);
		return new JobSpecification("text", List.of(step), 1, false, 0, 0);
	}

	private JobAnswer send(JobRequest.Method method, String path) {
		List<JobAnswer> answers = new ArrayList<>();
		this.service.handle(new JobRequest(method, "host", path, () -> Either.right(specification()), Optional.empty()),
				answers::add);
		// An unresolved write is read until the answer is due.
		this.time.advance(Duration.ofMillis(1_200));
		assertThat(answers).hasSize(1);
		return answers.get(0);
	}

	@Test
	void anAcceptedJobIsStored() {
		assertThat(send(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID).exists()).isTrue();
		assertThat(send(JobRequest.Method.SHOW, "/queue/" + ID)).isEqualTo(new JobAnswer.State(JobState.QUEUED));
		assertThat(send(JobRequest.Method.SHOW, "/queue/")).isEqualTo(new JobAnswer.Pending(1));
	}

	@Test
	void aJobSubmittedTwiceIsStoredOnce() {
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		long version = this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID).version();
		assertThat(send(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID).version()).isEqualTo(version);
	}

	@Test
	void aRefusedWriteIsReportedAsNotRunWithARetryDelay() {
		this.store.setFault(Fault.REFUSED);
		JobAnswer.Refused refused = (JobAnswer.Refused) send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refused.retryAfter()).isPresent();
	}

	@Test
	void aJobWhoseWriteMayTakeEffectLaterIsReportedAsMayHaveRun() {
		this.store.setFault(Fault.LATE);
		JobAnswer.Refused refused = (JobAnswer.Refused) send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void aJobIsAcceptedAndStoredOnceIfTheAnswerOfTheStoreIsLost() {
		this.store.setFault(Fault.ANSWER_LOST);
		assertThat(send(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		StoredRow row = this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID);
		assertThat(row.exists()).isTrue();
		assertThat(send(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID)).isEqualTo(row);
	}

	@Test
	void anUnknownQueueIsReportedOnlyWhileTheConfigurationIsUpToDate() {
		assertThat(send(JobRequest.Method.SHOW, "/other/" + ID)).isInstanceOf(JobAnswer.NoQueue.class);
		this.operator.setAge(Duration.ofSeconds(5));
		assertThat(send(JobRequest.Method.SHOW, "/other/" + ID)).isInstanceOf(JobAnswer.Refused.class);
	}

	@Test
	void anUnknownOrMalformedJobIdIsReportedAsNoJob() {
		assertThat(send(JobRequest.Method.SHOW, "/queue/" + ID)).isInstanceOf(JobAnswer.NoJob.class);
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isInstanceOf(JobAnswer.NoJob.class);
		assertThat(send(JobRequest.Method.SHOW, "/queue/nonsense")).isInstanceOf(JobAnswer.NoJob.class);
	}

	@Test
	void aCancellationIsStoredBeforeItIsConfirmed() {
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + ID).exists()).isTrue();
	}

	/**
	 * The first call to the store has no answer and the second is refused. The first may
	 * still take effect, so the cancellation must not be reported as not run.
	 */
	@Test
	void aCancellationWhoseWriteMayTakeEffectLaterIsReportedAsMayHaveRun() {
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.store.failNextCommits(Fault.LATE, Fault.REFUSED);
		JobAnswer.Refused refused = (JobAnswer.Refused) send(JobRequest.Method.CANCEL, "/queue/" + ID);
		this.store.applyHeld();
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + ID).exists()).isTrue();
		assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/**
	 * The write of a job has no answer and is still in flight when the caller cancels the
	 * job. Guards against a job that runs because it is stored after the answer to its
	 * cancellation.
	 */
	@Test
	void aJobThatIsStoredAfterItsCancellationDoesNotRun() {
		this.store.setFault(Fault.LATE);
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.store.setFault(Fault.NONE);
		JobAnswer cancelled = send(JobRequest.Method.CANCEL, "/queue/" + ID);
		assertThat(cancelled).isInstanceOfAny(JobAnswer.Accepted.class, JobAnswer.NoJob.class);
		this.store.applyHeld();
		StoredRow row = this.store.row(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID);
		boolean runs = row.exists() && !row.value().equals(Tables.WITHDRAWN_JOB);
		assertThat(runs && !this.store.row(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + ID).exists()).isFalse();
	}

	@Test
	void aWithdrawnJobIsUnknownAndRefusedTruthfully() {
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isEqualTo(new JobAnswer.NoJob());
		assertThat(send(JobRequest.Method.SHOW, "/queue/" + ID)).isEqualTo(new JobAnswer.NoJob());
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isEqualTo(new JobAnswer.NoJob());
		JobAnswer answer = send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(answer).isInstanceOfSatisfying(JobAnswer.Refused.class,
				(refused) -> assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN));
	}

	@Test
	void aJobThatWasStoredWithoutAnAnswerIsCancelled() {
		this.store.failNextCommits(Fault.ANSWER_LOST, Fault.LATE);
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isEqualTo(new JobAnswer.Accepted());
		assertThat(this.store.row(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + ID).exists()).isTrue();
	}

	@Test
	void anEndedJobWhoseStateIsNotReadYetIsNotReportedAsUnknown() {
		this.store.commit(
				RowTransaction.of(List.of(), List
					.of(new RowTransaction.Write(Tables.SUBMISSIONS, Tables.JOB_PREFIX + ID, Tables.ENDED_JOB))),
				(answer) -> {
				});
		assertThat(send(JobRequest.Method.SHOW, "/queue/" + ID)).isInstanceOf(JobAnswer.Refused.class);
		assertThat(send(JobRequest.Method.CANCEL, "/queue/" + ID)).isEqualTo(new JobAnswer.Accepted());
	}

	@Test
	void theRecordedStateReplacesTheLocallyAcceptedJob() {
		send(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.directory.rowsChanged(List.of(new StoredRow(Tables.PROGRESS_PREFIX + ID, 9, "COMPLETED 5 queue")));
		assertThat(send(JobRequest.Method.SHOW, "/queue/" + ID)).isEqualTo(new JobAnswer.State(JobState.COMPLETED));
		assertThat(send(JobRequest.Method.SHOW, "/queue/")).isEqualTo(new JobAnswer.Pending(0));
	}

	/**
	 * A caller must learn early enough that it has to ask another entry process, and must
	 * not be told that its job has not run while the store may still carry out the write.
	 */
	@ParameterizedTest
	@EnumSource(value = JobRequest.Method.class, names = { "SUBMIT", "SHOW", "CANCEL" })
	void aCallerIsAnsweredBeforeHalfOfItsTimeHasPassed(JobRequest.Method method) {
		List<JobAnswer> answers = new ArrayList<>();
		List<Runnable> withheld = new ArrayList<>();
		JobService slow = new JobService(new SilentStore(withheld), this.operator, this.directory,
				new IngressMetrics(new PrometheusRegistry()), this.time, this.time);
		slow.handle(new JobRequest(method, "host", "/queue/" + ID, () -> Either.right(specification()),
				Optional.of(Duration.ofMillis(1_600))), answers::add);
		this.time.advance(Duration.ofMillis(500));
		assertThat(answers).isEmpty();
		this.time.advance(Duration.ofMillis(299));
		Verdict expected = (method == JobRequest.Method.SHOW) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		assertThat(answers).hasSize(1)
			.first()
			.isInstanceOfSatisfying(JobAnswer.Refused.class,
					(refused) -> assertThat(refused.verdict()).isEqualTo(expected));
		List.copyOf(withheld).forEach(Runnable::run);
		assertThat(answers).hasSize(1);
	}

	@Test
	void aJobWithAMalformedIdIsRejected() {
		assertThat(send(JobRequest.Method.SUBMIT, "/queue/xyz")).isInstanceOf(JobAnswer.Malformed.class);
	}

	/**
	 * Store that answers only when the test says so.
	 */
	private record SilentStore(List<Runnable> withheld) implements RowStore {

		@Override
		public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
			this.withheld
				.add(() -> answer.accept(Either.right(new RowCommit(true, 1, List.of(), OptionalLong.empty()))));
		}

		@Override
		public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
			this.withheld.add(() -> answer.accept(Either.right(new StoredRow(key, StoredRow.ABSENT, ""))));
		}

		@Override
		public int partitions(String table) {
			return 1;
		}

		@Override
		public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		}

		@Override
		public void changes(String table, long afterVersion, Duration maximumWait,
				Consumer<Either<Failure, RowChanges>> answer) {
		}

	}

}
