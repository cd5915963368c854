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
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Carries out callers' requests. A job or a cancellation is stored before the caller
 * receives its acceptance. Must be used on the event loop only.
 */
public final class JobService {

	/**
	 * Delay after which callers may retry a request that failed because of the store.
	 * Outages of the store last seconds, and other entry processes may reach it in the
	 * meantime.
	 */
	private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Maximum number of store calls for one write. If none succeeds and one may still
	 * take effect, the outcome is reported as unknown.
	 */
	private static final int STORE_ATTEMPTS = 2;

	/**
	 * Age of the view of the operator's rows below which a request for an unknown queue
	 * is answered with {@link JobAnswer.NoQueue}. An older view may lack a new queue.
	 */
	private static final Duration MAXIMUM_CONFIGURATION_AGE = Duration.ofMillis(1_900);

	/**
	 * Share of the caller's time after which it gets its final answer even if the store
	 * has not answered. The rest is enough for the caller to ask another entry process.
	 */
	private static final double ANSWER_TIME_SHARE = 0.4;

	/**
	 * Time after which a caller that does not say how long it waits gets its answer.
	 */
	private static final Duration DEFAULT_ANSWER_TIME = Duration.ofMillis(1_200);

	private final RowStore store;

	private final OperatorView operator;

	private final JobDirectory directory;

	private final IngressMetrics metrics;

	private final Clock clock;

	private final Timer timer;

	/**
	 * Creates a service.
	 * @param store the store
	 * @param operator the view of the operator's configuration
	 * @param directory the states of jobs
	 * @param metrics the metrics of requests
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public JobService(RowStore store, OperatorView operator, JobDirectory directory, IngressMetrics metrics,
			Clock clock, Timer timer) {
		this.store = store;
		this.operator = operator;
		this.directory = directory;
		this.metrics = metrics;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Carries out a request.
	 * @param request the request
	 * @param answer receives the answer
	 */
	public void handle(JobRequest request, Consumer<JobAnswer> answer) {
		long started = this.clock.nanoTime();
		FinalAnswer finalAnswer = new FinalAnswer(request, (result) -> {
			this.metrics.recordRequest(request.method(), result, this.clock.nanoTime() - started);
			answer.accept(result);
		});
		Duration answerTime = request.timeRemaining()
			.map((time) -> Duration.ofMillis((long) (time.toMillis() * ANSWER_TIME_SHARE)))
			.orElse(DEFAULT_ANSWER_TIME);
		finalAnswer.timeout = this.timer.schedule(answerTime, () -> finalAnswer.accept(timedOut(request)));
		process(request, finalAnswer);
	}

	private static JobAnswer timedOut(JobRequest request) {
		boolean writes = request.method() == JobRequest.Method.SUBMIT || request.method() == JobRequest.Method.CANCEL;
		return new JobAnswer.Refused(writes ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, false,
				"the platform's store has not answered in time", Optional.of(STORE_RETRY_AFTER));
	}

	private void process(JobRequest request, Consumer<JobAnswer> answer) {
		Optional<QueueConfiguration> configuration = this.operator.configuration();
		if (configuration.isEmpty()) {
			answer.accept(unavailable("no configuration is known yet"));
			return;
		}
		Optional<Queue> queue = configuration.get().select(request.host(), request.path());
		if (queue.isEmpty()) {
			boolean upToDate = this.operator.age().compareTo(MAXIMUM_CONFIGURATION_AGE) < 0;
			answer.accept(upToDate ? new JobAnswer.NoQueue() : unavailable("the configuration may be out of date"));
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

	private void submit(Queue queue, String id, Supplier<Either<String, JobSpecification>> parser,
			Consumer<JobAnswer> answer) {
		if (!JobRequest.validId(id)) {
			answer.accept(new JobAnswer.Malformed("a job is identified by 16 hexadecimal digits"));
			return;
		}
		Either<String, JobSpecification> specification = parser.get();
		if (specification.isLeft()) {
			answer.accept(new JobAnswer.Malformed(specification.getLeft()));
			return;
		}
		JobSubmission submission = new JobSubmission(id, queue.name(), this.clock.millis(), specification.get());
		storeJob(submission, STORE_ATTEMPTS, Verdict.NOT_RUN, (result) -> {
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
	 * @param attempts the maximum number of calls to the store
	 * @param earlierVerdict whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeJob(JobSubmission submission, int attempts, Verdict earlierVerdict, Consumer<JobAnswer> answer) {
		String key = Tables.JOB_PREFIX + submission.id();
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.SUBMISSIONS, key, StoredRow.ABSENT)),
				List.of(new RowTransaction.Write(Tables.SUBMISSIONS, key, SubmissionCodec.write(submission))));
		this.store.commit(transaction, (outcome) -> {
			if (outcome.isRight() && isWithdrawn(outcome.get())) {
				answer.accept(new JobAnswer.Refused(Verdict.NOT_RUN, false,
						"the job was cancelled before it was stored", Optional.empty()));
			}
			else if (outcome.isRight()) {
				// If the row already exists, the same job was submitted before.
				this.directory.addAccepted(submission.id(), submission.queue());
				answer.accept(new JobAnswer.Accepted());
			}
			else if (outcome.getLeft().verdict() == Verdict.NOT_RUN && earlierVerdict == Verdict.NOT_RUN) {
				answer.accept(unavailable(outcome.getLeft().message()));
			}
			else if (attempts > 1) {
				storeJob(submission, attempts - 1, Verdict.MAY_HAVE_RUN, answer);
			}
			else {
				answer.accept(new JobAnswer.Refused(Verdict.MAY_HAVE_RUN, false, outcome.getLeft().message(),
						Optional.of(STORE_RETRY_AFTER)));
			}
		});
	}

	private static boolean isWithdrawn(RowCommit commit) {
		return !commit.applied() && commit.current().stream().anyMatch(JobService::isWithdrawn);
	}

	private static boolean isWithdrawn(StoredRow row) {
		return row.value().equals(Tables.WITHDRAWN_JOB);
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
		readJob(id, answer, (row) -> {
			if (!row.exists() || isWithdrawn(row)) {
				answer.accept(new JobAnswer.NoJob());
			}
			else if (row.value().equals(Tables.ENDED_JOB)) {
				answer.accept(unavailable("the state of the job is not read yet"));
			}
			else {
				answer.accept(new JobAnswer.State(JobState.QUEUED));
			}
		});
	}

	private void readJob(String id, Consumer<JobAnswer> answer, Consumer<StoredRow> reader) {
		if (!JobRequest.validId(id)) {
			answer.accept(new JobAnswer.NoJob());
			return;
		}
		this.store.read(Tables.SUBMISSIONS, Tables.JOB_PREFIX + id, (row) -> {
			if (row.isLeft()) {
				answer.accept(unavailable(row.getLeft().message()));
			}
			else {
				reader.accept(row.get());
			}
		});
	}

	private void cancel(String id, Consumer<JobAnswer> answer) {
		Optional<JobState> state = this.directory.state(id);
		if (state.filter(JobState::terminal).isPresent()) {
			answer.accept(new JobAnswer.Accepted());
		}
		else if (state.isPresent()) {
			storeCancellation(id, STORE_ATTEMPTS, Verdict.NOT_RUN, answer);
		}
		else {
			readJob(id, answer, (row) -> cancelStored(id, row, answer));
		}
	}

	private void cancelStored(String id, StoredRow row, Consumer<JobAnswer> answer) {
		if (!row.exists()) {
			withdraw(id, STORE_ATTEMPTS, answer);
		}
		else if (isWithdrawn(row)) {
			answer.accept(new JobAnswer.NoJob());
		}
		else if (row.value().equals(Tables.ENDED_JOB)) {
			answer.accept(new JobAnswer.Accepted());
		}
		else {
			storeCancellation(id, STORE_ATTEMPTS, Verdict.NOT_RUN, answer);
		}
	}

	/**
	 * Takes the place of a job that is not stored. The store may still carry out a write
	 * of the job that was not answered, and the caller must not be told that there is no
	 * job while it can still run.
	 * @param id the ID of the job
	 * @param attempts the maximum number of calls to the store
	 * @param answer receives the answer
	 */
	private void withdraw(String id, int attempts, Consumer<JobAnswer> answer) {
		String key = Tables.JOB_PREFIX + id;
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.SUBMISSIONS, key, StoredRow.ABSENT)),
				List.of(new RowTransaction.Write(Tables.SUBMISSIONS, key, Tables.WITHDRAWN_JOB)));
		this.store.commit(transaction, (outcome) -> {
			if (outcome.isLeft() && attempts > 1) {
				withdraw(id, attempts - 1, answer);
				return;
			}
			EventLog.info(IngressEvent.JOB_WITHDRAWN, Field.of("job", id), Field.of("stored", outcome.isRight()));
			if (outcome.isLeft()) {
				answer.accept(new JobAnswer.Refused(outcome.getLeft().verdict(), false, outcome.getLeft().message(),
						Optional.of(STORE_RETRY_AFTER)));
			}
			else if (outcome.get().applied()) {
				answer.accept(new JobAnswer.NoJob());
			}
			else {
				outcome.get()
					.current()
					.stream()
					.filter((row) -> row.key().equals(key) && row.exists())
					.findFirst()
					.ifPresentOrElse((row) -> cancelStored(id, row, answer),
							() -> answer.accept(unavailable("the store does not show the job")));
			}
		});
	}

	/**
	 * Stores a cancellation.
	 * @param id the ID of the job
	 * @param attempts the maximum number of calls to the store
	 * @param earlierVerdict whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeCancellation(String id, int attempts, Verdict earlierVerdict, Consumer<JobAnswer> answer) {
		RowTransaction transaction = RowTransaction.of(List.of(),
				List.of(new RowTransaction.Write(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + id, "")));
		this.store.commit(transaction, (outcome) -> {
			boolean notStored = outcome.isLeft() && outcome.getLeft().verdict() == Verdict.NOT_RUN;
			Verdict verdict = notStored ? earlierVerdict : Verdict.MAY_HAVE_RUN;
			if (outcome.isLeft() && attempts > 1) {
				storeCancellation(id, attempts - 1, verdict, answer);
				return;
			}
			EventLog.info(IngressEvent.CANCELLATION_ANSWERED, Field.of("job", id),
					Field.of("stored", outcome.isRight()));
			answer.accept(outcome.isRight() ? new JobAnswer.Accepted() : new JobAnswer.Refused(verdict, false,
					outcome.getLeft().message(), Optional.of(STORE_RETRY_AFTER)));
		});
	}

	/**
	 * Passes on the first of two answers: the real one or that of the timeout.
	 */
	private static final class FinalAnswer implements Consumer<JobAnswer> {

		private final JobRequest request;

		private final Consumer<JobAnswer> target;

		private Cancellable timeout = () -> {
		};

		private boolean given;

		private FinalAnswer(JobRequest request, Consumer<JobAnswer> target) {
			this.request = request;
			this.target = target;
		}

		@Override
		public void accept(JobAnswer result) {
			if (this.given) {
				EventLog.info(IngressEvent.ANSWER_TOO_LATE, Field.of("path", this.request.path()),
						Field.of("method", this.request.method()), Field.of("answer", result));
				return;
			}
			this.given = true;
			this.timeout.cancel();
			this.target.accept(result);
		}

	}

}
