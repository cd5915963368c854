package org.crocuspost.ingress;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.SubmissionCodec;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.lead.Tables;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;

/**
 * Carries out callers' requests. An acceptance is in the store before the caller is told.
 * Used on the event loop only.
 */
public final class JobDesk {

	/**
	 * When callers come back after the store did not take a job. The store's outages last
	 * seconds; other entries may reach it meanwhile.
	 */
	private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Calls to the store for one request, before the caller is told that the outcome is
	 * unknown.
	 */
	private static final int STORE_TRIES = 2;

	/**
	 * A view of the operator's rows that is older may lack a new queue.
	 */
	private static final Duration FRESH_CONFIGURATION = Duration.ofMillis(1_900);

	private final RowStore store;

	private final OperatorView operator;

	private final JobDirectory directory;

	private final IngressMetrics metrics;

	private final Clock clock;

	/**
	 * Creates a desk.
	 * @param store the store
	 * @param operator what the operator wants
	 * @param directory states of jobs
	 * @param metrics metrics of the requests
	 * @param clock the clock of the process
	 */
	public JobDesk(RowStore store, OperatorView operator, JobDirectory directory, IngressMetrics metrics, Clock clock) {
		this.store = store;
		this.operator = operator;
		this.directory = directory;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Carries out a request.
	 * @param request the request
	 * @param answer receives the answer
	 */
	public void handle(JobRequest request, Consumer<JobAnswer> answer) {
		long started = this.clock.nanoTime();
		decide(request, (result) -> {
			this.metrics.answered(request.method(), result, this.clock.nanoTime() - started);
			answer.accept(result);
		});
	}

	private void decide(JobRequest request, Consumer<JobAnswer> answer) {
		Optional<QueueConfiguration> configuration = this.operator.configuration();
		if (configuration.isEmpty()) {
			answer.accept(unavailable("no configuration is known yet"));
			return;
		}
		Optional<Queue> queue = configuration.get().select(request.host(), request.path());
		if (queue.isEmpty()) {
			boolean fresh = this.operator.age().compareTo(FRESH_CONFIGURATION) < 0;
			answer.accept(fresh ? new JobAnswer.NoQueue() : unavailable("the configuration may be out of date"));
			return;
		}
		String id = request.path().substring(queue.get().pathPrefix().length());
		switch (request.method()) {
			case SUBMIT -> submit(queue.get(), id, request.specification(), answer);
			case SHOW -> show(queue.get(), id, answer);
			case CANCEL -> cancel(id, answer);
			default -> answer.accept(new JobAnswer.Malformed("the method is not supported"));
		}
	}

	private static JobAnswer.Refused unavailable(String reason) {
		return new JobAnswer.Refused(Verdict.NOT_RUN, false, reason, Optional.of(STORE_RETRY_AFTER));
	}

	private void submit(Queue queue, String id, Supplier<Either<String, JobSpecification>> body,
			Consumer<JobAnswer> answer) {
		if (!JobRequest.validId(id)) {
			answer.accept(new JobAnswer.Malformed("a job is identified by 16 hexadecimal digits"));
			return;
		}
		Either<String, JobSpecification> specification = body.get();
		if (specification.isLeft()) {
			answer.accept(new JobAnswer.Malformed(specification.getLeft()));
			return;
		}
		JobSubmission submission = new JobSubmission(id, queue.name(), this.clock.millis(), specification.get());
		storeJob(submission, STORE_TRIES, Verdict.NOT_RUN, (result) -> {
			logSubmission(submission, result);
			answer.accept(result);
		});
	}

	private static void logSubmission(JobSubmission submission, JobAnswer result) {
		if (result instanceof JobAnswer.Refused refused) {
			EventLog.info(IngressEvent.JOB_REFUSED, Field.of("job", submission.id()),
					Field.of("queue", submission.queue()), Field.of("verdict", refused.verdict().label()),
					Field.of("reason", refused.reason()));
		}
		else {
			EventLog.info(IngressEvent.JOB_ACCEPTED, Field.of("job", submission.id()),
					Field.of("queue", submission.queue()));
		}
	}

	/**
	 * Stores a job.
	 * @param submission the job
	 * @param tries the most calls to the store
	 * @param former whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeJob(JobSubmission submission, int tries, Verdict former, Consumer<JobAnswer> answer) {
		String key = Tables.JOB_PREFIX + submission.id();
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.INTAKE, key, StoredRow.ABSENT)),
				List.of(new RowTransaction.Write(Tables.INTAKE, key, SubmissionCodec.write(submission))));
		this.store.commit(transaction, (outcome) -> {
			if (outcome.isRight()) {
				// A row that exists already is the same job, handed in before.
				this.directory.accepted(submission.id(), submission.queue());
				answer.accept(new JobAnswer.Accepted());
			}
			else if (outcome.getLeft().verdict() == Verdict.NOT_RUN && former == Verdict.NOT_RUN) {
				answer.accept(unavailable(outcome.getLeft().message()));
			}
			else if (tries > 1) {
				storeJob(submission, tries - 1, Verdict.MAY_HAVE_RUN, answer);
			}
			else {
				answer.accept(new JobAnswer.Refused(Verdict.MAY_HAVE_RUN, false, outcome.getLeft().message(),
						Optional.of(STORE_RETRY_AFTER)));
			}
		});
	}

	private void show(Queue queue, String id, Consumer<JobAnswer> answer) {
		if (id.isEmpty()) {
			answer.accept(new JobAnswer.Pending(this.directory.pending(queue.name())));
			return;
		}
		Optional<JobState> state = this.directory.state(id);
		if (state.isPresent()) {
			answer.accept(new JobAnswer.State(state.get()));
			return;
		}
		ifStored(id, answer, () -> answer.accept(new JobAnswer.State(JobState.QUEUED)));
	}

	private void ifStored(String id, Consumer<JobAnswer> answer, Runnable stored) {
		if (!JobRequest.validId(id)) {
			answer.accept(new JobAnswer.NoJob());
			return;
		}
		this.store.read(Tables.INTAKE, Tables.JOB_PREFIX + id, (row) -> {
			if (row.isLeft()) {
				answer.accept(unavailable(row.getLeft().message()));
			}
			else if (row.get().exists()) {
				stored.run();
			}
			else {
				answer.accept(new JobAnswer.NoJob());
			}
		});
	}

	private void cancel(String id, Consumer<JobAnswer> answer) {
		Optional<JobState> state = this.directory.state(id);
		if (state.filter(JobState::terminal).isPresent()) {
			answer.accept(new JobAnswer.Accepted());
		}
		else if (state.isPresent()) {
			storeCancellation(id, STORE_TRIES, Verdict.NOT_RUN, answer);
		}
		else {
			ifStored(id, answer, () -> storeCancellation(id, STORE_TRIES, Verdict.NOT_RUN, answer));
		}
	}

	/**
	 * Stores a cancellation.
	 * @param id the identity of the job
	 * @param tries the most calls to the store
	 * @param former whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeCancellation(String id, int tries, Verdict former, Consumer<JobAnswer> answer) {
		RowTransaction transaction = RowTransaction.of(List.of(),
				List.of(new RowTransaction.Write(Tables.INTAKE, Tables.CANCELLATION_PREFIX + id, "")));
		this.store.commit(transaction, (outcome) -> {
			boolean notStored = outcome.isLeft() && outcome.getLeft().verdict() == Verdict.NOT_RUN;
			Verdict verdict = notStored ? former : Verdict.MAY_HAVE_RUN;
			if (outcome.isLeft() && tries > 1) {
				storeCancellation(id, tries - 1, verdict, answer);
				return;
			}
			EventLog.info(IngressEvent.CANCELLATION_ANSWERED, Field.of("job", id),
					Field.of("stored", outcome.isRight()));
			answer.accept(outcome.isRight() ? new JobAnswer.Accepted() : new JobAnswer.Refused(verdict, false,
					outcome.getLeft().message(), Optional.of(STORE_RETRY_AFTER)));
		});
	}

}
