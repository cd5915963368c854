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
	 * Age of the view of the operator's rows below which a request for an unknown queue
	 * is answered with {@link JobAnswer.NoQueue}. An older view may lack a new queue.
	 */
	private static final Duration MAXIMUM_CONFIGURATION_AGE = Duration.ofMillis(1_900);

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
		storeJob(submission, answer, (result) -> {
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
	 * @param finalAnswer the answer to the caller
	 * @param answer receives the outcome
	 */
	private void storeJob(JobSubmission submission, FinalAnswer finalAnswer, Consumer<JobAnswer> answer) {
		write(Tables.JOB_PREFIX + submission.id(), SubmissionCodec.write(submission), true, finalAnswer, (row) -> {
			if (row.isLeft()) {
				answer.accept(refused(row.getLeft()));
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

	private void write(String key, String value, boolean ifAbsent, FinalAnswer finalAnswer,
			Consumer<Either<Failure, StoredRow>> outcome) {
		if (finalAnswer.given) {
			// The answer may promise that nothing is written.
			return;
		}
		PendingWrite write = new PendingWrite(key, value, ifAbsent, this.clock.nanoTime(), finalAnswer.dueNanos,
				outcome);
		finalAnswer.write = Optional.of(write);
		committer(key).write(write);
	}

	private static JobAnswer.Refused refused(Failure failure) {
		return new JobAnswer.Refused(failure.verdict(), false, failure.message(), Optional.of(STORE_RETRY_AFTER));
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
		if (!row.exists()) {
			withdraw(id, answer);
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
	 * @param answer receives the answer
	 */
	private void withdraw(String id, FinalAnswer answer) {
		write(Tables.JOB_PREFIX + id, Tables.WITHDRAWN_JOB, true, answer, (row) -> {
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
		write(Tables.CANCELLATION_PREFIX + id, "", false, answer, (row) -> {
			EventLog.info(IngressEvent.CANCELLATION_ANSWERED, Field.of("job", id), Field.of("stored", row.isRight()));
			answer.accept(row.isRight() ? new JobAnswer.Accepted() : refused(row.getLeft()));
		});
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
