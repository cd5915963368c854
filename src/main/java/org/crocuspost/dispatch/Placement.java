package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.job.TaskProgress;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.WorkerDescription;
import org.jspecify.annotations.Nullable;

/**
 * Holds the leader's state of a run that is assigned to a worker. Mutable.
 */
final class Placement {

	/**
	 * Progress of the assignment from the decision to the first report.
	 */
	enum Phase {

		/**
		 * The assignment is not recorded in the store yet; no start order was sent.
		 */
		RECORDING,

		/**
		 * The start order was sent.
		 */
		ORDERED,

		/**
		 * The assignment was made by an earlier leader; the host has not reported the run
		 * to this leader yet.
		 */
		INHERITED,

		/**
		 * The host has reported the run.
		 */
		REPORTED

	}

	/**
	 * Progress of a run that is done, in percent.
	 */
	private static final int COMPLETE = 100;

	private final TaskProgress task;

	private final int run;

	private final Duration probation;

	private final String worker;

	private final long workerStartMillis;

	private Phase phase;

	private long orderNumber;

	private long orderConnection;

	private long phaseSinceNanos;

	private int progress = -1;

	private int firstListedProgress;

	private long progressMillis;

	private @Nullable RunningTask report;

	private long slowSinceNanos;

	private final long placedNanos;

	private boolean stopOrdered;

	private boolean listed;

	private long firstListedMillis;

	private long lastListedMillis;

	Placement(TaskProgress task, Phase phase, long nowNanos) {
		this.task = task;
		this.run = task.run();
		this.probation = Suspicion.probation(task);
		this.worker = task.worker();
		this.workerStartMillis = task.workerStartMillis();
		this.phase = phase;
		this.phaseSinceNanos = nowNanos;
		this.placedNanos = nowNanos;
	}

	/**
	 * Records that the start order was sent.
	 * @param number the number of the order
	 * @param usedConnection the number of the connection on which it was sent
	 * @param nowNanos the current time
	 */
	void ordered(long number, long usedConnection, long nowNanos) {
		this.phase = Phase.ORDERED;
		this.orderNumber = number;
		this.orderConnection = usedConnection;
		this.phaseSinceNanos = nowNanos;
	}

	void reported(RunningTask running, long nowNanos) {
		this.phase = Phase.REPORTED;
		boolean wasSlow = this.report != null && this.report.getPace() < DispatchSettings.MINIMUM_FILLER_PACE;
		if (!wasSlow) {
			this.slowSinceNanos = nowNanos;
		}
		this.report = running;
	}

	/**
	 * Records that the worker listed the run as running. The times are those of the
	 * worker's clock, since a report may be held up on its way for any time.
	 * @param running the entry of the list
	 * @param listedMillis the worker's clock when it returned the list, in milliseconds
	 */
	void listedRunning(RunningTask running, long listedMillis) {
		// A lower time is that of the next incarnation, which has started the run itself.
		if (!this.listed || listedMillis < this.firstListedMillis) {
			this.listed = true;
			this.firstListedMillis = listedMillis;
			this.lastListedMillis = listedMillis;
			this.progressMillis = listedMillis;
			this.firstListedProgress = running.getProgress();
		}
		this.lastListedMillis = Math.max(this.lastListedMillis, listedMillis);
		// A run that is deliberately throttled is not considered stalled.
		if (running.getProgress() != this.progress || running.getPace() < ReportProcessor.STALL_MINIMUM_PACE) {
			this.progress = running.getProgress();
			this.progressMillis = listedMillis;
		}
	}

	/**
	 * Returns for how long the worker is known to have listed the run without progress.
	 * @return the time; zero if the worker has not listed the run
	 */
	Duration timeWithoutProgress() {
		return this.listed ? Duration.ofMillis(this.lastListedMillis - this.progressMillis) : Duration.ZERO;
	}

	/**
	 * Returns for how long the run is known to have run, from the first list that
	 * contained it to the last one.
	 * @return the time; zero if this leader has seen it in one list or in none
	 */
	Duration observedRunTime() {
		return this.listed ? Duration.ofMillis(this.lastListedMillis - this.firstListedMillis) : Duration.ZERO;
	}

	/**
	 * Returns whether a report to this leader has listed the run as running.
	 * @return true if it has run
	 */
	boolean listed() {
		return this.listed;
	}

	/**
	 * Returns when the run is expected to end if it goes on as fast as it was observed.
	 * Its progress at first does not count, since it may have resumed from a checkpoint.
	 * @return the time that is left; empty if no progress was observed
	 */
	Optional<Duration> expectedRemaining() {
		int observed = this.progress - this.firstListedProgress;
		return (!this.listed || observed <= 0) ? Optional.empty()
				: Optional.of(observedRunTime().multipliedBy(COMPLETE - this.progress).dividedBy(observed));
	}

	/**
	 * Returns whether the run has not been seen to run for long enough to exclude it as
	 * the cause of a crash of its worker.
	 * @return true if it may be the cause
	 */
	boolean onProbation() {
		return observedRunTime().compareTo(this.probation) < 0;
	}

	/**
	 * Returns whether this is the current run of the task: it was not replaced and has
	 * not ended.
	 * @return true if it is the current run
	 */
	boolean current() {
		return this.task.run() == this.run && this.task.status() == org.crocuspost.job.TaskStatus.PLACED;
	}

	/**
	 * Returns whether the run was assigned to an incarnation of a worker.
	 * @param description the worker
	 * @return true if it is the incarnation that was to start the run
	 */
	boolean assignedTo(WorkerDescription description) {
		return this.worker.equals(description.getId()) && this.workerStartMillis == description.getBorn();
	}

	/**
	 * Returns whether the agent may have passed the start order on to the worker. An
	 * agent reports the orders of one connection only, so an order that was sent on an
	 * earlier one may have been handled.
	 * @param report a report of the agent
	 * @param connection the number of the connection on which the report has arrived
	 * @param formerAgentIncarnation the incarnation of the agent that sent the previous
	 * report
	 * @return false if the order was not sent, not read or refused
	 */
	boolean mayHaveStarted(HostReport report, long connection, String formerAgentIncarnation) {
		return switch (this.phase) {
			case RECORDING -> false;
			case ORDERED -> (report.getHandledOrder() >= this.orderNumber || connection != this.orderConnection
					|| !report.getLife().equals(formerAgentIncarnation))
					&& report.getRefusedList().stream().noneMatch((refused) -> refersTo(refused));
			case INHERITED, REPORTED -> true;
		};
	}

	/**
	 * Returns whether the start order was sent on a connection.
	 * @param connection the number of the connection
	 * @return false also if this leader has not sent an order
	 */
	boolean orderedOn(long connection) {
		return this.orderNumber > 0 && this.orderConnection == connection;
	}

	private boolean refersTo(RefusedStart refused) {
		return refused.getRun() == this.run && TaskNames.key(refused.getTask()).equals(this.task.key());
	}

	boolean stopOrdered() {
		return this.stopOrdered;
	}

	/**
	 * Records that a stop of the run was ordered.
	 * @return whether this is the first order
	 */
	boolean markStopOrdered() {
		boolean first = !this.stopOrdered;
		this.stopOrdered = true;
		return first;
	}

	Duration timeInPhase(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.phaseSinceNanos);
	}

	Duration age(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.placedNanos);
	}

	TaskProgress task() {
		return this.task;
	}

	int run() {
		return this.run;
	}

	String worker() {
		return this.worker;
	}

	long workerStartMillis() {
		return this.workerStartMillis;
	}

	Phase phase() {
		return this.phase;
	}

	long orderNumber() {
		return this.orderNumber;
	}

	long phaseSinceNanos() {
		return this.phaseSinceNanos;
	}

	/**
	 * Returns whether the run has been slow for some time.
	 * @param duration the time
	 * @param nowNanos the current time
	 * @return true if all reports within the time showed a low pace
	 */
	boolean slowFor(Duration duration, long nowNanos) {
		return this.report != null && this.report.getPace() < DispatchSettings.MINIMUM_FILLER_PACE
				&& nowNanos - this.slowSinceNanos >= duration.toNanos();
	}

	@Nullable RunningTask report() {
		return this.report;
	}

}
