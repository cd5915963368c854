package org.crocuspost.ingress;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.ingress.IngressMetrics.WriteEnd;
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
import org.crocuspost.rows.RowStore;
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
	 * Maximum number of writes to take the ID of a rejected job: one may find the row of
	 * an earlier rejection, and one may be refused.
	 */
	private static final int REJECTION_ATTEMPTS = 3;

	/**
	 * Divisor of the time until the answer that a caller gets if the store is silent. The
	 * quotient is the time within which the ID of a rejected job must be taken: otherwise
	 * the job is stored, for which as much time must remain.
	 */
	private static final int REJECTION_TIME_DIVISOR = 2;

	/**
	 * Age of the view of the operator's rows below which a request for an unknown queue
	 * is answered with {@link JobAnswer.NoQueue}. An older view may lack a new queue.
	 */
	private static final Duration MAXIMUM_CONFIGURATION_AGE = Duration.ofMillis(1_900);

	/**
	 * Time since which accepted jobs may be missing in the ledger below which they are
	 * counted. Callers are told that a number is at most 2 s old and that a job is
	 * visible 3 s after its acceptance, so a job accepted 5 s before must be in it.
	 */
	private static final Duration MAXIMUM_SUBMISSIONS_AGE = Duration.ofMillis(4_800);

	/**
	 * Share of the caller's time after which it gets its final answer if the store has
	 * answered nothing since the request arrived. The rest is enough for the caller to
	 * ask another entry process.
	 */
	private static final double SILENT_ANSWER_TIME_SHARE = 0.4;

	/**
	 * Share of the caller's time after which a submission or a cancellation gets its
	 * final answer even if its outcome is unknown. Callers must be left a fifth of their
	 * time; the difference covers the way of the answer.
	 */
	private static final double ANSWER_TIME_SHARE = 0.78;

	/**
	 * Time after which a caller that does not say how long it waits gets its answer.
	 */
	private static final Duration DEFAULT_ANSWER_TIME = Duration.ofMillis(1_200);

	private final RowStore store;

	private final OperatorView operator;

	private final JobDirectory directory;

	private final IngressMetrics metrics;

	private final PendingAnswerLog pendingAnswerLog;

	private final Clock clock;

	private final Timer timer;

	private final List<GroupCommitter> committers;

	private final Set<FinalAnswer> openAnswers = new LinkedHashSet<>();

	private OptionalLong stopNanos = OptionalLong.empty();

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
		this(store, store, operator, directory, metrics, clock, timer);
	}

	/**
	 * Creates a service that reads the outcomes of writes past the circuit breaker.
	 * @param store the store
	 * @param outcomes the store from which the outcomes of writes are read
	 * @param operator the view of the operator's configuration
	 * @param directory the states of jobs
	 * @param metrics the metrics of requests
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public JobService(RowStore store, RowStore outcomes, OperatorView operator, JobDirectory directory,
			IngressMetrics metrics, Clock clock, Timer timer) {
		this.store = store;
		this.operator = operator;
		this.directory = directory;
		this.metrics = metrics;
		this.pendingAnswerLog = new PendingAnswerLog(metrics, clock);
		this.clock = clock;
		this.timer = timer;
		this.committers = IntStream.range(0, Tables.SUBMISSION_PARTITIONS)
			.mapToObj((partition) -> new GroupCommitter(store, outcomes, metrics, clock, timer))
			.toList();
	}

	/**
	 * Carries out a request.
	 * @param request the request
	 * @param answer receives the answer
	 */
	public void handle(JobRequest request, Consumer<JobAnswer> answer) {
		long started = this.clock.nanoTime();
		Duration silentTime = answerTime(request, SILENT_ANSWER_TIME_SHARE);
		Duration latestTime = writes(request) ? answerTime(request, ANSWER_TIME_SHARE) : silentTime;
		FinalAnswer finalAnswer = new FinalAnswer(request, started + latestTime.toNanos(), (result) -> {
			this.metrics.recordRequest(request.method(), result, this.clock.nanoTime() - started);
			answer.accept(result);
		});
		this.openAnswers.add(finalAnswer);
		finalAnswer.timeout = this.timer.schedule(untilStop(silentTime), () -> {
			Duration remaining = untilStop(latestTime.minus(silentTime));
			if (remaining.compareTo(Duration.ZERO) > 0 && answeredSince(started)) {
				finalAnswer.timeout = this.timer.schedule(remaining, () -> timeOut(finalAnswer));
			}
			else {
				timeOut(finalAnswer);
			}
		});
		process(request, finalAnswer);
	}

	private boolean answeredSince(long nanos) {
		return this.committers.stream().anyMatch((committer) -> committer.answeredSince(nanos));
	}

	// A transaction is limited to one partition, so each has groups of its own.
	private GroupCommitter committer(String key) {
		return this.committers.get(Tables.partition(Tables.SUBMISSIONS, key) - 1);
	}

	private static Duration answerTime(JobRequest request, double share) {
		return request.timeRemaining()
			.map((time) -> Duration.ofMillis((long) (time.toMillis() * share)))
			.orElse(DEFAULT_ANSWER_TIME);
	}

	private Duration untilStop(Duration duration) {
		if (this.stopNanos.isEmpty()) {
			return duration;
		}
		long remaining = Math.max(0, this.stopNanos.getAsLong() - this.clock.nanoTime());
		return Duration.ofNanos(Math.min(remaining, duration.toNanos()));
	}

	/**
	 * Limits the time until all requests are answered, those that arrive later included,
	 * since the process stops.
	 * @param limit the time until the last answer
	 */
	public void answerWithin(Duration limit) {
		this.stopNanos = OptionalLong.of(this.clock.nanoTime() + limit.toNanos());
		EventLog.info(IngressEvent.ANSWERS_LIMITED, Field.of("open", this.openAnswers.size()),
				Field.of("limit", limit));
		this.timer.schedule(limit, () -> List.copyOf(this.openAnswers).forEach(this::timeOut));
	}

	private static boolean writes(JobRequest request) {
		return request.method() == JobRequest.Method.SUBMIT || request.method() == JobRequest.Method.CANCEL;
	}

	private void timeOut(FinalAnswer answer) {
		answer.accept(new JobAnswer.Refused(answer.abandon(), false, "the platform's store has not answered in time",
				Optional.of(STORE_RETRY_AFTER)));
	}

	private void process(JobRequest request, FinalAnswer answer) {
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

	private void submit(Queue queue, String id, Supplier<Either<String, JobSpecification>> parser, FinalAnswer answer) {
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
		if (rejection.isEmpty()) {
			accept(queue, submission, answer);
			return;
		}
		RejectionAttempt attempt = new RejectionAttempt(submission, rejection.get(), answer, answer,
				() -> accept(queue, submission, answer));
		attempt
			.limit(untilStop(answerTime(answer.request, SILENT_ANSWER_TIME_SHARE).dividedBy(REJECTION_TIME_DIVISOR)));
		attempt.write(StoredRow.ABSENT, REJECTION_ATTEMPTS);
	}

	private void accept(Queue queue, JobSubmission submission, FinalAnswer answer) {
		boolean known = this.directory.state(submission.id()).isPresent();
		storeJob(submission, StoredRow.ABSENT, answer, (result) -> {
			if (result instanceof JobAnswer.Accepted && !known) {
				this.directory.admission().accepted(queue, submission);
			}
			logSubmission(submission, result);
			answer.accept(result);
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
	 * @param finalAnswer the answer to the caller
	 * @param answer receives the outcome
	 */
	private void storeJob(JobSubmission submission, long version, FinalAnswer finalAnswer, Consumer<JobAnswer> answer) {
		OptionalLong required = OptionalLong.of(version);
		write(Tables.JOB_PREFIX + submission.id(), SubmissionCodec.write(submission), required, finalAnswer, (row) -> {
			if (row.isLeft()) {
				answer.accept(refused(row.getLeft()));
			}
			else if (replaceable(row.get())) {
				storeAgain(submission, row.get(), finalAnswer, answer);
			}
			else if (isWithdrawn(row.get())) {
				answer.accept(new JobAnswer.Refused(Verdict.NOT_RUN, false,
						"the job was cancelled before it was stored", Optional.empty()));
			}
			else {
				// If the row already existed, the same job was submitted before.
				this.directory.addAccepted(submission.id(), submission.queue());
				answer.accept(new JobAnswer.Accepted());
			}
		});
	}

	/**
	 * Stores a job in the place of an earlier rejection. If the rejection is too recent,
	 * this try may be older than the rejected one, whose caller was told that the job
	 * does not run, so the job is rejected again.
	 * @param submission the job
	 * @param row the row that the job must replace; no write of the job that requires an
	 * older version can take effect any more
	 * @param finalAnswer the answer to the caller
	 * @param answer receives the outcome
	 */
	private void storeAgain(JobSubmission submission, StoredRow row, FinalAnswer finalAnswer,
			Consumer<JobAnswer> answer) {
		boolean mayReplace = !row.exists() || RejectionMark.read(row)
			.filter((mark) -> mark.replaceableAt(submission.acceptedMillis()))
			.isPresent();
		if (mayReplace) {
			storeJob(submission, row.version(), finalAnswer, answer);
		}
		else {
			new RejectionAttempt(submission, AdmissionControl.Rejection.REPEATED_TOO_EARLY, finalAnswer, answer,
					() -> answer.accept(new JobAnswer.Refused(Verdict.MAY_HAVE_RUN, false,
							"the rejection of the job is not stored", Optional.of(STORE_RETRY_AFTER))))
				.write(row.version(), REJECTION_ATTEMPTS);
		}
	}

	private void write(String key, String value, OptionalLong requiredVersion, FinalAnswer finalAnswer,
			Consumer<Either<Failure, StoredRow>> outcome) {
		write(key, value, requiredVersion, finalAnswer.dueNanos, finalAnswer, outcome);
	}

	private void write(String key, String value, OptionalLong requiredVersion, long dueNanos, FinalAnswer finalAnswer,
			Consumer<Either<Failure, StoredRow>> outcome) {
		if (finalAnswer.given) {
			// The answer may promise that nothing is written.
			return;
		}
		PendingWrite write = new PendingWrite(key, value, requiredVersion, this.clock.nanoTime(), dueNanos, outcome);
		finalAnswer.write = Optional.of(write);
		committer(key).write(write);
	}

	private static JobAnswer.Refused refused(Failure failure) {
		return new JobAnswer.Refused(failure.verdict(), false, failure.message(), Optional.of(STORE_RETRY_AFTER));
	}

	// The row is absent or stands for a rejected job.
	private static boolean replaceable(StoredRow row) {
		return !row.exists() || RejectionMark.isMark(row);
	}

	private static boolean isWithdrawn(StoredRow row) {
		return row.value().equals(Tables.WITHDRAWN_JOB);
	}

	private void show(Queue queue, String id, Consumer<JobAnswer> answer) {
		if (id.isEmpty()) {
			countPending(queue, answer);
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

	private void countPending(Queue queue, Consumer<JobAnswer> answer) {
		PendingCount pending = this.directory.pending(queue.name());
		boolean complete = pending.view().submissionsAge().compareTo(MAXIMUM_SUBMISSIONS_AGE) < 0;
		answer.accept(complete ? new JobAnswer.Pending(pending.total())
				: unavailable("jobs accepted by other processes may not be recorded yet"));
		this.pendingAnswerLog.answered(queue.name(), pending, complete);
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
				committer(Tables.JOB_PREFIX + id).recordAnswer();
				reader.accept(row.get());
			}
		});
	}

	private void cancel(String id, FinalAnswer answer) {
		Optional<JobState> state = this.directory.state(id);
		if (state.filter(JobState::terminal).isPresent()) {
			answer.accept(new JobAnswer.Accepted());
		}
		else if (state.isPresent()) {
			storeCancellation(id, answer);
		}
		else {
			readJob(id, answer, (row) -> cancelStored(id, row, answer));
		}
	}

	private void cancelStored(String id, StoredRow row, FinalAnswer answer) {
		if (replaceable(row)) {
			withdraw(id, row.version(), answer);
		}
		else if (isWithdrawn(row)) {
			answer.accept(new JobAnswer.NoJob());
		}
		else if (row.value().equals(Tables.ENDED_JOB)) {
			answer.accept(new JobAnswer.Accepted());
		}
		else {
			storeCancellation(id, answer);
		}
	}

	/**
	 * Takes the place of a job that is not stored. The store may still carry out a write
	 * of the job that was not answered, and the caller must not be told that there is no
	 * job while it can still run.
	 * @param id the ID of the job
	 * @param version the version that the row of the job must have
	 * @param answer receives the answer
	 */
	private void withdraw(String id, long version, FinalAnswer answer) {
		write(Tables.JOB_PREFIX + id, Tables.WITHDRAWN_JOB, OptionalLong.of(version), answer, (row) -> {
			boolean withdrawn = row.isRight() && isWithdrawn(row.get());
			EventLog.info(IngressEvent.JOB_WITHDRAWN, Field.of("job", id), Field.of("stored", withdrawn));
			if (row.isLeft()) {
				answer.accept(refused(row.getLeft()));
			}
			else {
				cancelStored(id, row.get(), answer);
			}
		});
	}

	private void storeCancellation(String id, FinalAnswer answer) {
		write(Tables.CANCELLATION_PREFIX + id, "", OptionalLong.empty(), answer, (row) -> {
			EventLog.info(IngressEvent.CANCELLATION_ANSWERED, Field.of("job", id), Field.of("stored", row.isRight()));
			answer.accept(row.isRight() ? new JobAnswer.Accepted() : refused(row.getLeft()));
		});
	}

	/**
	 * Rejects a job because of the backlog, after its ID was taken. A write of an earlier
	 * try of the same job, also through another entry process, may still be on its way;
	 * since it requires an older version of the row, it is refused from then on. If the
	 * ID cannot be taken, or not in time, the alternative is carried out.
	 */
	private final class RejectionAttempt {

		private final JobSubmission submission;

		private final AdmissionControl.Rejection reason;

		private final FinalAnswer finalAnswer;

		private final Consumer<JobAnswer> answer;

		private final Runnable alternative;

		private long dueNanos;

		private Cancellable timeout = () -> {
		};

		private boolean ended;

		private RejectionAttempt(JobSubmission submission, AdmissionControl.Rejection reason, FinalAnswer finalAnswer,
				Consumer<JobAnswer> answer, Runnable alternative) {
			this.submission = submission;
			this.reason = reason;
			this.finalAnswer = finalAnswer;
			this.answer = answer;
			this.alternative = alternative;
			this.dueNanos = finalAnswer.dueNanos;
		}

		/**
		 * Limits the time until the alternative is carried out. A mark that is written
		 * later requires the same version as the job, so only one of them takes effect.
		 * @param limit the time
		 */
		private void limit(Duration limit) {
			this.dueNanos = JobService.this.clock.nanoTime() + limit.toNanos();
			this.timeout = JobService.this.timer.schedule(limit, () -> {
				if (!this.ended && !this.finalAnswer.given) {
					this.finalAnswer.write.ifPresent(PendingWrite::abandon);
					end(false);
				}
			});
		}

		/**
		 * Writes the mark of the rejected job.
		 * @param version the version that the row of the job must have
		 * @param attempts the maximum number of writes
		 */
		private void write(long version, int attempts) {
			String mark = new RejectionMark(JobService.this.clock.millis()).write();
			JobService.this.write(Tables.JOB_PREFIX + this.submission.id(), mark, OptionalLong.of(version),
					this.dueNanos, this.finalAnswer, (row) -> {
						boolean stored = row.isRight() && row.get().value().equals(mark);
						if (this.ended) {
							rejectIfUnsent(stored);
						}
						else if (stored) {
							end(true);
						}
						else if (attempts > 1 && (row.isLeft() || replaceable(row.get()))) {
							write(row.isRight() ? row.get().version() : version, attempts - 1);
						}
						else {
							end(false);
						}
					});
		}

		/**
		 * Handles the outcome of a mark after the alternative has started. A job that
		 * waits for the transaction of the mark has not been sent and is rejected.
		 * @param stored whether the mark is stored
		 */
		private void rejectIfUnsent(boolean stored) {
			Optional<PendingWrite> unsent = this.finalAnswer.write
				.filter((write) -> write.open() && write.copies() == 0);
			if (stored && !this.finalAnswer.given && unsent.isPresent()) {
				unsent.get().abandon();
				end(true);
			}
		}

		private void end(boolean stored) {
			this.ended = true;
			this.timeout.cancel();
			logRejection(this.submission, this.reason, stored);
			if (stored) {
				JobService.this.metrics.recordRejection(this.submission.queue());
				this.answer.accept(new JobAnswer.Refused(Verdict.NOT_RUN, true,
						"the job could not end while its result is of use", Optional.of(this.reason.retryAfter())));
			}
			else {
				this.alternative.run();
			}
		}

	}

	/**
	 * Passes on the first of two answers: the real one or that of the timeout.
	 */
	private final class FinalAnswer implements Consumer<JobAnswer> {

		private final JobRequest request;

		private final long dueNanos;

		private final Consumer<JobAnswer> target;

		private Optional<PendingWrite> write = Optional.empty();

		private Cancellable timeout = () -> {
		};

		private boolean given;

		private FinalAnswer(JobRequest request, long dueNanos, Consumer<JobAnswer> target) {
			this.request = request;
			this.dueNanos = dueNanos;
			this.target = target;
		}

		/**
		 * Stops the write of the request, since its caller is answered now.
		 * @return whether the request may have been carried out or may still be
		 */
		private Verdict abandon() {
			if (this.write.isPresent()) {
				Verdict verdict = this.write.get().abandon();
				JobService.this.metrics
					.recordWriteEnd((verdict == Verdict.NOT_RUN) ? WriteEnd.UNSENT : WriteEnd.UNRESOLVED);
				return verdict;
			}
			return (this.request.method() == JobRequest.Method.CANCEL) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
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
			JobService.this.openAnswers.remove(this);
			this.target.accept(result);
		}

	}

}
