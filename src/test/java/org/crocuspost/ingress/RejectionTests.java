package org.crocuspost.ingress;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.dispatch.AdmissionFigures;
import org.crocuspost.dispatch.AdmissionFigures.Backlog;
import org.crocuspost.dispatch.AdmissionFigures.Backlogs;
import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.lead.LeaderRecord;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.lead.RejectionMark;
import org.crocuspost.lead.Tables;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a job that is rejected because of the backlog does not run, whatever became
 * of earlier tries, and that its caller can submit it again.
 */
class RejectionTests {

	private static final String ID = "0123456789abcdef";

	private static final String KEY = Tables.JOB_PREFIX + ID;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final MemoryRowStore store = new MemoryRowStore();

	private final Entry overloaded = new Entry(true);

	private final Entry unaware = new Entry(false);

	private boolean runs() {
		StoredRow row = this.store.row(Tables.INTAKE, KEY);
		return row.exists() && !RejectionMark.isMark(row) && !row.value().equals(Tables.WITHDRAWN_JOB);
	}

	private static void assertRejected(JobAnswer answer) {
		assertThat(answer).isInstanceOfSatisfying(JobAnswer.Refused.class, (refused) -> {
			assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(refused.overloaded()).isTrue();
			assertThat(refused.retryAfter()).isPresent();
		});
	}

	/**
	 * The write of an unanswered try is carried out after another entry has rejected the
	 * job.
	 */
	@Test
	void aWriteOfAnEarlierTryDoesNotTakeEffectAfterTheRejection() {
		this.store.setFault(Fault.LATE);
		this.unaware.send(JobRequest.Method.SUBMIT);
		this.store.setFault(Fault.NONE);
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		this.store.applyHeld();
		assertThat(runs()).isFalse();
	}

	/**
	 * The first try is stored without an answer, so a rejection would be untrue.
	 */
	@Test
	void aJobThatWasStoredWithoutAnAnswerIsAccepted() {
		this.store.failNextCommits(Fault.ANSWER_LOST, Fault.LATE);
		this.unaware.send(JobRequest.Method.SUBMIT);
		assertThat(this.overloaded.send(JobRequest.Method.SUBMIT)).isEqualTo(new JobAnswer.Accepted());
		assertThat(runs()).isTrue();
	}

	@Test
	void aJobThatTheEntryKnowsAsAcceptedIsNotRejected() {
		this.overloaded.publish(false);
		this.overloaded.send(JobRequest.Method.SUBMIT);
		this.overloaded.publish(true);
		assertThat(this.overloaded.send(JobRequest.Method.SUBMIT)).isEqualTo(new JobAnswer.Accepted());
		assertThat(runs()).isTrue();
	}

	/**
	 * A rejected job that returns is accepted, is unknown until then, and is stored once.
	 */
	@Test
	void aRejectedJobIsAcceptedWhenItsCallerReturns() {
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		assertThat(this.unaware.send(JobRequest.Method.SHOW)).isEqualTo(new JobAnswer.NoJob());
		this.time.advance(RejectionMark.MINIMUM_RETRY_AFTER);
		assertThat(this.unaware.send(JobRequest.Method.SUBMIT)).isEqualTo(new JobAnswer.Accepted());
		assertThat(runs()).isTrue();
		long version = this.store.row(Tables.INTAKE, KEY).version();
		assertThat(this.unaware.send(JobRequest.Method.SUBMIT)).isEqualTo(new JobAnswer.Accepted());
		assertThat(this.store.row(Tables.INTAKE, KEY).version()).isEqualTo(version);
	}

	/**
	 * The caller returns, its try has no answer, and the next one is rejected again. The
	 * late write was based on the first rejection.
	 */
	@Test
	void aWriteThatReplacesARejectionDoesNotTakeEffectAfterTheNextOne() {
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		this.time.advance(RejectionMark.MINIMUM_RETRY_AFTER);
		this.store.failNextCommits(Fault.NONE, Fault.LATE, Fault.LATE);
		this.unaware.send(JobRequest.Method.SUBMIT);
		this.overloaded.publish(true);
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		this.store.applyHeld();
		assertThat(runs()).isFalse();
	}

	/**
	 * An entry still works on the first try of a caller when another entry rejects the
	 * second, and finds the mark when it writes. It must not replace it.
	 */
	@Test
	void aTryThatMayBeOlderThanTheRejectionDoesNotReplaceIt() {
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		assertRejected(this.unaware.send(JobRequest.Method.SUBMIT));
		this.time.advance(RejectionMark.HOLD.minusMillis(1));
		assertRejected(this.unaware.send(JobRequest.Method.SUBMIT));
		assertThat(runs()).isFalse();
	}

	/**
	 * The answer of the store to the rejection is lost, or the store does not take it.
	 * Guards against a rejection that is not stored.
	 */
	@Test
	void aJobIsRejectedOnlyIfItsMarkIsStored() {
		this.store.failNextCommits(Fault.ANSWER_LOST);
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		assertThat(RejectionMark.isMark(this.store.row(Tables.INTAKE, KEY))).isTrue();
		this.time.advance(RejectionMark.MINIMUM_RETRY_AFTER);
		this.overloaded.publish(true);
		this.store.failNextCommits(Fault.REFUSED, Fault.REFUSED, Fault.REFUSED);
		assertThat(this.overloaded.send(JobRequest.Method.SUBMIT)).isEqualTo(new JobAnswer.Accepted());
		this.store.applyHeld();
		assertThat(runs()).isTrue();
	}

	@Test
	void aCancelledJobStaysCancelledAfterARejection() {
		assertRejected(this.overloaded.send(JobRequest.Method.SUBMIT));
		this.time.advance(RejectionMark.MINIMUM_RETRY_AFTER);
		this.store.failNextCommits(Fault.NONE, Fault.LATE, Fault.LATE);
		this.unaware.send(JobRequest.Method.SUBMIT);
		assertThat(this.unaware.send(JobRequest.Method.CANCEL)).isEqualTo(new JobAnswer.NoJob());
		this.store.applyHeld();
		assertThat(runs()).isFalse();
	}

	private final class Entry implements OperatorView {

		private final JobDirectory directory = new JobDirectory((row) -> {
		}, new AdmissionControl(RejectionTests.this.time));

		private final JobService service = new JobService(RejectionTests.this.store, this, this.directory,
				new IngressMetrics(new PrometheusRegistry()), RejectionTests.this.time, RejectionTests.this.time);

		private Entry(boolean overloaded) {
			this.directory
				.rowsChanged(List.of(new StoredRow(Tables.LEADER_KEY, 1, new LeaderRecord(5, 0, "entry-1").write())));
			publish(overloaded);
		}

		private void publish(boolean overload) {
			long now = RejectionTests.this.time.millis();
			Map<String, Backlogs> backlogs = overload
					? Map.of("queue", new Backlogs(new Backlog(1_000_000, 10_000), Backlog.NONE)) : Map.of();
			this.directory.rowsChanged(List.of(new StoredRow(Tables.ADMISSION_KEY, 9,
					new AdmissionFigures(5, now, now + 5_000, backlogs, Set.of()).write())));
		}

		private JobAnswer send(JobRequest.Method method) {
			StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false,
					false, "", "", 0, false, false, "", Duration.ZERO, false, -1);
			List<JobAnswer> answers = new ArrayList<>();
			this.service.handle(new JobRequest(method, "host", "/queue/" + ID,
					() -> Either.right(new JobSpecification("text", List.of(step), 1, false, 0, 0)), Optional.empty()),
					answers::add);
			assertThat(answers).hasSize(1);
			return answers.get(0);
		}

		@Override
		public Optional<QueueConfiguration> configuration() {
			return Optional.of(new QueueConfiguration(1,
					List.of(new Queue("queue", "host", "/queue/", "service", 2, 2, 2, Duration.ZERO, false)), List.of(),
					1_000));
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
