package org.crocuspost.ingress;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.crocuspost.dispatch.AdmissionFigures;
import org.crocuspost.dispatch.AdmissionFigures.Backlog;
import org.crocuspost.dispatch.AdmissionFigures.Backlogs;
import org.crocuspost.dispatch.JobDemand;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.lead.LeaderRecord;
import org.crocuspost.lead.RejectionMark;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.ClockReading;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a submitted job could still end while its result is of use, given the
 * work ahead of it that the leader has published. Must be used on the event loop only.
 *
 * <p>
 * Uncertainty counts in favour of the job: figures that are missing, old, malformed or of
 * a former leader are not used, and what other entry processes have accepted since is
 * assumed to be no more than what was completed meanwhile.
 */
public final class AdmissionControl {

	/**
	 * Maximum age of the figures.
	 */
	private static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

	/**
	 * Longest time to drain a backlog that is told to callers. Rates change within a
	 * minute.
	 */
	private static final Duration MAXIMUM_DRAIN_TIME = Duration.ofSeconds(60);

	/**
	 * Divisor of the time of use that gives the least width of the spread of returns.
	 */
	private static final double SMALLEST_SPREAD_DIVISOR = 3;

	private static final double MILLIS = 1_000;

	/**
	 * Fractional part of the golden ratio. Its multiples modulo 1 fill an interval evenly
	 * from the first ones on, where random numbers leave clusters.
	 */
	private static final double SPREAD_STEP = 0.6180339887498949;

	private final Clock clock;

	private @Nullable AdmissionFigures figures;

	private ClockReading received;

	private long leaderEpoch;

	private final Map<String, Accepted> acceptedSince = new HashMap<>();

	private double spread;

	/**
	 * Creates a control without figures, which rejects nothing.
	 * @param clock the clock of the process
	 */
	public AdmissionControl(Clock clock) {
		this.clock = clock;
		this.received = ClockReading.of(clock);
		// Entry processes that start with the same value would ask their callers to
		// return at the same times.
		this.spread = Math.floorMod(clock.nanoTime(), 1_000_003L) / 1_000_003.0;
	}

	/**
	 * Handles the row that names the leader. The figures of another leader are not used.
	 * @param row the row
	 */
	void leaderRowChanged(StoredRow row) {
		try {
			this.leaderEpoch = LeaderRecord.read(row.value()).epoch();
		}
		catch (IllegalArgumentException ex) {
			this.leaderEpoch = 0;
		}
	}

	/**
	 * Handles the row with the figures.
	 * @param row the row
	 */
	void figuresChanged(StoredRow row) {
		this.figures = null;
		this.acceptedSince.clear();
		if (!row.exists()) {
			return;
		}
		try {
			this.figures = AdmissionFigures.read(row.value());
			this.received = ClockReading.of(this.clock);
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(IngressEvent.ADMISSION_IGNORED, Field.of("version", row.version()),
					Field.of("reason", String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Handles that the table with the figures is read again from the start.
	 */
	void clear() {
		this.figures = null;
		this.acceptedSince.clear();
	}

	/**
	 * Decides whether a job must be rejected.
	 * @param queue the queue of the job
	 * @param submission the job
	 * @return the reason to reject it, or empty if it must be accepted
	 */
	Optional<Rejection> check(Queue queue, JobSubmission submission) {
		JobSpecification specification = submission.specification();
		AdmissionFigures current = this.figures;
		if (current == null || queue.priority() <= 0 || specification.longRunning() || specification.scheduled()
				|| current.epoch() != this.leaderEpoch) {
			return Optional.empty();
		}
		Duration age = age(current);
		Backlogs backlogs = current.backlogs().get(queue.name());
		if (backlogs == null || age.compareTo(MAXIMUM_AGE) > 0 || this.clock.millis() > current.validMillis()) {
			return Optional.empty();
		}
		JobDemand demand = JobDemand.of(queue, specification, current.exclusiveImages());
		Accepted accepted = this.acceptedSince.getOrDefault(queue.name(), Accepted.NONE);
		OptionalDouble shared = endMillis(backlogs.shared(), accepted.shared(), demand.shared(), age);
		OptionalDouble exclusive = endMillis(backlogs.exclusive(), accepted.exclusive(), demand.exclusive(), age);
		double end = Math.max(shared.orElse(0), exclusive.orElse(0));
		double excess = end - demand.timeOfUse().toMillis();
		if (end == 0 || excess <= 0 || demand.chain().compareTo(demand.timeOfUse()) > 0) {
			return Optional.empty();
		}
		return Optional.of(new Rejection(backlogs, age, Duration.ofMillis((long) end), demand.timeOfUse(),
				retryAfter(excess, demand.timeOfUse())));
	}

	/**
	 * Returns the age of the figures by the clocks of this process and of the leader,
	 * whichever is longer: a row may be read long after it was written.
	 * @param current the figures
	 * @return the age
	 */
	private Duration age(AdmissionFigures current) {
		Duration sinceMeasured = Duration.ofMillis(this.clock.millis() - current.measuredMillis());
		Duration sinceReceived = this.received.age(this.clock);
		return (sinceMeasured.compareTo(sinceReceived) > 0) ? sinceMeasured : sinceReceived;
	}

	/**
	 * Returns the earliest time after which the steps of a job that need one kind of
	 * capacity have ended.
	 * @param backlog the published backlog
	 * @param accepted the work that was accepted since, in core-milliseconds
	 * @param share what the job needs
	 * @param age the age of the backlog
	 * @return the time in milliseconds, or empty if nothing is known to delay the job
	 */
	private static OptionalDouble endMillis(Backlog backlog, long accepted, JobDemand.Share share, Duration age) {
		if (!backlog.known() || share.work() == 0) {
			return OptionalDouble.empty();
		}
		double rate = backlog.drainMilliCores() / MILLIS;
		// Other entry processes accept jobs as well, so the backlog is not assumed to
		// shrink.
		double ahead = backlog.work() + Math.max(0, accepted - age.toMillis() * rate);
		// While all capacity is in use, the tasks start one after another as it is
		// released,
		// and the last one of the chain has to run after its start.
		return OptionalDouble.of((ahead + share.work()) / rate + share.chain().toMillis());
	}

	/**
	 * Returns the time until the backlog has drained far enough, plus a part of a spread
	 * of the same length, but at least of a third of the time of use: by then the figures
	 * have changed, and the callers that were rejected together return one after another.
	 * @param excessMillis the time until the backlog has drained far enough
	 * @param timeOfUse the time after which the end of the job is of no use
	 * @return the delay in whole seconds
	 */
	private Duration retryAfter(double excessMillis, Duration timeOfUse) {
		this.spread = (this.spread + SPREAD_STEP) % 1;
		double bounded = Math.min(excessMillis, MAXIMUM_DRAIN_TIME.toMillis());
		double width = Math.max(bounded, timeOfUse.toMillis() / SMALLEST_SPREAD_DIVISOR);
		double earliest = Math.max(bounded, RejectionMark.MINIMUM_RETRY_AFTER.toMillis());
		return Duration.ofSeconds((long) Math.ceil((earliest + this.spread * width) / MILLIS));
	}

	/**
	 * Adds a job that this process has accepted since the figures were published.
	 * @param queue the queue of the job
	 * @param submission the job
	 */
	void accepted(Queue queue, JobSubmission submission) {
		AdmissionFigures current = this.figures;
		if (current != null && current.backlogs().containsKey(queue.name())) {
			JobDemand demand = JobDemand.of(queue, submission.specification(), current.exclusiveImages());
			this.acceptedSince.merge(queue.name(), new Accepted(demand.shared().work(), demand.exclusive().work()),
					Accepted::plus);
		}
	}

	/**
	 * Reason to reject a job.
	 *
	 * @param backlogs the published work ahead of the job
	 * @param age the age of the figures
	 * @param end the time after which the job could end at the earliest
	 * @param timeOfUse the time after which its end is of no use
	 * @param retryAfter the delay after which the caller should submit it again
	 */
	record Rejection(Backlogs backlogs, Duration age, Duration end, Duration timeOfUse, Duration retryAfter) {

		/**
		 * Rejection of a try that may be older than one that was just rejected.
		 */
		static final Rejection REPEATED_TOO_EARLY = new Rejection(new Backlogs(Backlog.NONE, Backlog.NONE),
				Duration.ZERO, Duration.ZERO, Duration.ZERO, RejectionMark.MINIMUM_RETRY_AFTER);

	}

	private record Accepted(long shared, long exclusive) {

		private static final Accepted NONE = new Accepted(0, 0);

		private Accepted plus(Accepted other) {
			return new Accepted(this.shared + other.shared, this.exclusive + other.exclusive);
		}

	}

}
