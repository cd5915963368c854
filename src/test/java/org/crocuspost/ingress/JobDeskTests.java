package org.crocuspost.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.lead.Tables;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers are told, and that it is true.
 */
class JobDeskTests {

	private static final String ID = "0123456789abcdef";

	private final MemoryRowStore store = new MemoryRowStore();

	private final FixedOperator operator = new FixedOperator();

	private final JobDirectory directory = new JobDirectory((row) -> {
	});

	private final JobDesk desk = new JobDesk(this.store, this.operator, this.directory,
			new IngressMetrics(new PrometheusRegistry()), new VirtualTime(Instant.EPOCH));

	private JobAnswer ask(JobRequest.Method method, String path) {
		List<JobAnswer> answers = new ArrayList<>();
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, false, "", Duration.ZERO, false, -1);
		this.desk.handle(new JobRequest(method, "host", path,
				() -> Either.right(new JobSpecification("text", List.of(step), 1, false, 0, 0))), answers::add);
		assertThat(answers).hasSize(1);
		return answers.get(0);
	}

	@Test
	void anAcceptedJobIsStored() {
		assertThat(ask(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.INTAKE, Tables.JOB_PREFIX + ID).exists()).isTrue();
		assertThat(ask(JobRequest.Method.SHOW, "/queue/" + ID)).isEqualTo(new JobAnswer.State(JobState.QUEUED));
		assertThat(ask(JobRequest.Method.SHOW, "/queue/")).isEqualTo(new JobAnswer.Pending(1));
	}

	@Test
	void theSameJobHandedInAgainRemainsOneJob() {
		ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		long version = this.store.row(Tables.INTAKE, Tables.JOB_PREFIX + ID).version();
		assertThat(ask(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.INTAKE, Tables.JOB_PREFIX + ID).version()).isEqualTo(version);
	}

	@Test
	void aRefusedStoreMeansNotRunAndTellsWhenToComeBack() {
		this.store.setFault(Fault.REFUSED);
		JobAnswer.Refused refused = (JobAnswer.Refused) ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refused.retryAfter()).isPresent();
	}

	@Test
	void aJobThatMayBeStoredLaterIsNotSaidNotToRun() {
		this.store.setFault(Fault.LATE);
		JobAnswer.Refused refused = (JobAnswer.Refused) ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void aLostAnswerIsFoundOutByTheNextTry() {
		this.store.setFault(Fault.ANSWER_LOST);
		JobAnswer.Refused refused = (JobAnswer.Refused) ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		this.store.setFault(Fault.NONE);
		assertThat(ask(JobRequest.Method.SUBMIT, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
	}

	@Test
	void anUnknownQueueIsReportedOnlyWhileTheConfigurationIsFresh() {
		assertThat(ask(JobRequest.Method.SHOW, "/other/" + ID)).isInstanceOf(JobAnswer.NoQueue.class);
		this.operator.age = Duration.ofSeconds(5);
		assertThat(ask(JobRequest.Method.SHOW, "/other/" + ID)).isInstanceOf(JobAnswer.Refused.class);
	}

	@Test
	void anUnknownJobIsGone() {
		assertThat(ask(JobRequest.Method.SHOW, "/queue/" + ID)).isInstanceOf(JobAnswer.NoJob.class);
		assertThat(ask(JobRequest.Method.CANCEL, "/queue/" + ID)).isInstanceOf(JobAnswer.NoJob.class);
		assertThat(ask(JobRequest.Method.SHOW, "/queue/nonsense")).isInstanceOf(JobAnswer.NoJob.class);
	}

	@Test
	void aCancellationIsStoredBeforeItIsConfirmed() {
		ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		assertThat(ask(JobRequest.Method.CANCEL, "/queue/" + ID)).isInstanceOf(JobAnswer.Accepted.class);
		assertThat(this.store.row(Tables.INTAKE, Tables.CANCELLATION_PREFIX + ID).exists()).isTrue();
	}

	/**
	 * The first try has no answer and the second is refused: the first may still act.
	 */
	@Test
	void aCancellationThatMayBeStoredLaterIsNotSaidNotToRun() {
		ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.store.failNextCommits(Fault.LATE, Fault.REFUSED);
		JobAnswer.Refused refused = (JobAnswer.Refused) ask(JobRequest.Method.CANCEL, "/queue/" + ID);
		this.store.applyHeld();
		assertThat(this.store.row(Tables.INTAKE, Tables.CANCELLATION_PREFIX + ID).exists()).isTrue();
		assertThat(refused.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/**
	 * The write of a job that had no answer is still under way when the caller takes the
	 * job back.
	 */
	@Test
	@Tag("known-red")
	void aJobThatIsStoredAfterItsCancellationDoesNotRun() {
		this.store.setFault(Fault.LATE);
		ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.store.setFault(Fault.NONE);
		JobAnswer cancelled = ask(JobRequest.Method.CANCEL, "/queue/" + ID);
		assertThat(cancelled).isInstanceOfAny(JobAnswer.Accepted.class, JobAnswer.NoJob.class);
		this.store.applyHeld();
		boolean stored = this.store.row(Tables.INTAKE, Tables.JOB_PREFIX + ID).exists();
		assertThat(stored && !this.store.row(Tables.INTAKE, Tables.CANCELLATION_PREFIX + ID).exists()).isFalse();
	}

	@Test
	void theRecordedStateGoesBeforeWhatWasAcceptedHere() {
		ask(JobRequest.Method.SUBMIT, "/queue/" + ID);
		this.directory.rowsChanged(List.of(new StoredRow(Tables.PROGRESS_PREFIX + ID, 9, "COMPLETED 5 queue")));
		assertThat(ask(JobRequest.Method.SHOW, "/queue/" + ID)).isEqualTo(new JobAnswer.State(JobState.COMPLETED));
		assertThat(ask(JobRequest.Method.SHOW, "/queue/")).isEqualTo(new JobAnswer.Pending(0));
	}

	@Test
	void malformedIdentitiesAreRefused() {
		assertThat(ask(JobRequest.Method.SUBMIT, "/queue/xyz")).isInstanceOf(JobAnswer.Malformed.class);
	}

	private static final class FixedOperator implements OperatorView {

		private Duration age = Duration.ZERO;

		@Override
		public Optional<QueueConfiguration> configuration() {
			return Optional.of(new QueueConfiguration(1,
					List.of(new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ZERO, false)), List.of(),
					1_000));
		}

		@Override
		public Set<String> evacuatedDomains() {
			return Set.of();
		}

		@Override
		public Duration age() {
			return this.age;
		}

	}

}
