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
import org.crocuspost.lead.RejectionMark;
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
	 * Maximum number of store calls to take the ID of a rejected job: one may find the
	 * row of an earlier rejection, and one may get no answer.
	 */
	private static final int REJECTION_ATTEMPTS = 3;

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
		Optional<AdmissionControl.Rejection> rejection = this.directory.state(id).isPresent() ? Optional.empty()
				: this.directory.admission().check(queue, submission);
		Runnable acceptance = () -> accept(queue, submission, answer);
		rejection.ifPresentOrElse(
				(reason) -> reject(submission, reason, StoredRow.ABSENT, REJECTION_ATTEMPTS, answer, acceptance),
				acceptance);
	}

	private void accept(Queue queue, JobSubmission submission, Consumer<JobAnswer> answer) {
		boolean known = this.directory.state(submission.id()).isPresent();
		storeJob(submission, StoredRow.ABSENT, STORE_ATTEMPTS, Verdict.NOT_RUN, (result) -> {
			if (result instanceof JobAnswer.Accepted && !known) {
				this.directory.admission().accepted(queue, submission);
			}
			logSubmission(submission, result);
			answer.accept(result);
		});
	}

	/**
	 * Rejects a job because of the backlog, after its ID was taken. A write of an earlier
	 * try of the same job, also through another entry process, may still be on its way;
	 * since it requires an older version of the row, it is refused from then on. If the
	 * ID cannot be taken, the job is accepted like any other.
	 * @param submission the job
	 * @param reason the reason of the rejection
	 * @param version the version that the row of the job must have
	 * @param attempts the maximum number of calls to the store
	 * @param answer receives the answer
	 * @param acceptance accepts the job instead
	 */
	private void reject(JobSubmission submission, AdmissionControl.Rejection reason, long version, int attempts,
			Consumer<JobAnswer> answer, Runnable acceptance) {
		String key = Tables.JOB_PREFIX + submission.id();
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.INTAKE, key, version)),
				List.of(new RowTransaction.Write(Tables.INTAKE, key, new RejectionMark(this.clock.millis()).write())));
		this.store.commit(transaction, (outcome) -> {
			Optional<StoredRow> replaceable = outcome.isRight() ? replaceable(outcome.get(), key) : Optional.empty();
			boolean applied = outcome.isRight() && outcome.get().applied();
			if (!applied && attempts > 1 && (outcome.isLeft() || replaceable.isPresent())) {
				reject(submission, reason, replaceable.map(StoredRow::version).orElse(version), attempts - 1, answer,
						acceptance);
				return;
			}
			logRejection(submission, reason, applied);
			if (applied) {
				this.metrics.recordRejection(submission.queue());
				answer.accept(new JobAnswer.Refused(Verdict.NOT_RUN, true,
						"the job could not end while its result is of use", Optional.of(reason.retryAfter())));
			}
			else {
				acceptance.run();
			}
		});
	}

	private static void logRejection(JobSubmission submission, AdmissionControl.Rejection reason, boolean applied) {
		EventLog.info(IngressEvent.JOB_REJECTED, Field.of("job", submission.id()),
				Field.of("queue", submission.queue()), Field.of("rejected", applied),
				Field.of("sharedWork", reason.backlogs().shared().work()),
				Field.of("sharedDrainMilliCores", reason.backlogs().shared().drainMilliCores()),
				Field.of("exclusiveWork", reason.backlogs().exclusive().work()),
				Field.of("exclusiveDrainMilliCores", reason.backlogs().exclusive().drainMilliCores()),
				Field.of("ageMillis", reason.age().toMillis()), Field.of("endMillis", reason.end().toMillis()),
				Field.of("timeOfUseMillis", reason.timeOfUse().toMillis()),
				Field.of("retryAfterSeconds", reason.retryAfter().toSeconds()));
	}

	/**
	 * Returns the row of a job that a submission may replace.
	 * @param commit the outcome of a transaction that requires another version of the row
	 * @param key the key of the row
	 * @return the row if it is absent or stands for a rejected job
	 */
	private static Optional<StoredRow> replaceable(RowCommit commit, String key) {
		return commit.applied() ? Optional.empty()
				: commit.current()
					.stream()
					.filter((row) -> row.key().equals(key) && (!row.exists() || RejectionMark.isMark(row)))
					.findFirst();
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
	 * @param version the version that the row of the job must have; the job replaces the
	 * row of an earlier rejection
	 * @param attempts the maximum number of calls to the store
	 * @param earlierVerdict whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeJob(JobSubmission submission, long version, int attempts, Verdict earlierVerdict,
			Consumer<JobAnswer> answer) {
		String key = Tables.JOB_PREFIX + submission.id();
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.INTAKE, key, version)),
				List.of(new RowTransaction.Write(Tables.INTAKE, key, SubmissionCodec.write(submission))));
		this.store.commit(transaction, (outcome) -> {
			Optional<StoredRow> replaceable = outcome.isRight() ? replaceable(outcome.get(), key) : Optional.empty();
			if (replaceable.isPresent()) {
				storeAgain(submission, replaceable.get(), attempts, earlierVerdict, answer);
			}
			else if (outcome.isRight() && isWithdrawn(outcome.get())) {
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
				storeJob(submission, version, attempts - 1, Verdict.MAY_HAVE_RUN, answer);
			}
			else {
				answer.accept(new JobAnswer.Refused(Verdict.MAY_HAVE_RUN, false, outcome.getLeft().message(),
						Optional.of(STORE_RETRY_AFTER)));
			}
		});
	}

	/**
	 * Stores a job in the place of an earlier rejection. If the rejection is too recent,
	 * this try may be older than the rejected one, whose caller was told that the job
	 * does not run, so the job is rejected again.
	 * @param submission the job
	 * @param row the row that the job must replace
	 * @param attempts the maximum number of calls to the store
	 * @param earlierVerdict whether an earlier call may still take effect
	 * @param answer receives the answer
	 */
	private void storeAgain(JobSubmission submission, StoredRow row, int attempts, Verdict earlierVerdict,
			Consumer<JobAnswer> answer) {
		boolean mayReplace = !row.exists() || RejectionMark.read(row)
			.filter((mark) -> mark.replaceableAt(submission.acceptedMillis()))
			.isPresent();
		if (mayReplace) {
			storeJob(submission, row.version(), attempts, earlierVerdict, answer);
		}
		else {
			reject(submission, AdmissionControl.Rejection.REPEATED_TOO_EARLY, row.version(), REJECTION_ATTEMPTS, answer,
					() -> answer.accept(new JobAnswer.Refused(Verdict.MAY_HAVE_RUN, false,
							"the rejection of the job is not stored", Optional.of(STORE_RETRY_AFTER))));
		}
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
			if (!row.exists() || isWithdrawn(row) || RejectionMark.isMark(row)) {
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
		this.store.read(Tables.INTAKE, Tables.JOB_PREFIX + id, (row) -> {
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
		if (!row.exists() || RejectionMark.isMark(row)) {
			withdraw(id, row.version(), STORE_ATTEMPTS, answer);
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
	 * @param version the version that the row of the job must have
	 * @param attempts the maximum number of calls to the store
	 * @param answer receives the answer
	 */
	private void withdraw(String id, long version, int attempts, Consumer<JobAnswer> answer) {
		String key = Tables.JOB_PREFIX + id;
		RowTransaction transaction = RowTransaction.of(
				List.of(new RowTransaction.Condition(Tables.INTAKE, key, version)),
				List.of(new RowTransaction.Write(Tables.INTAKE, key, Tables.WITHDRAWN_JOB)));
		this.store.commit(transaction, (outcome) -> {
			if (outcome.isLeft() && attempts > 1) {
				withdraw(id, version, attempts - 1, answer);
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
				List.of(new RowTransaction.Write(Tables.INTAKE, Tables.CANCELLATION_PREFIX + id, "")));
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
