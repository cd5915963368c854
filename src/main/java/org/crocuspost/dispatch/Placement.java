package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.TaskProgress;
import org.crocuspost.wire.RunningTask;
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

	private final TaskProgress task;

	private final int run;

	private Phase phase;

	private long orderNumber;

	private long phaseSinceNanos;

	private int progress = -1;

	private long progressNanos;

	private @Nullable RunningTask report;

	private long slowSinceNanos;

	private final long placedNanos;

	private boolean stopOrdered;

	Placement(TaskProgress task, Phase phase, long nowNanos) {
		this.task = task;
		this.run = task.run();
		this.phase = phase;
		this.phaseSinceNanos = nowNanos;
		this.placedNanos = nowNanos;
		this.progressNanos = nowNanos;
	}

	void ordered(long number, long nowNanos) {
		this.phase = Phase.ORDERED;
		this.orderNumber = number;
		this.phaseSinceNanos = nowNanos;
	}

	void reported(RunningTask running, long nowNanos) {
		this.phase = Phase.REPORTED;
		boolean wasSlow = this.report != null && this.report.getPace() < DispatchSettings.MINIMUM_FILLER_PACE;
		if (!wasSlow) {
			this.slowSinceNanos = nowNanos;
		}
		this.report = running;
		// A run that is deliberately throttled is not considered stalled.
		if (running.getProgress() != this.progress || running.getPace() < ReportProcessor.STALL_MINIMUM_PACE) {
			this.progress = running.getProgress();
			this.progressNanos = nowNanos;
		}
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
	 * Records that a stop of the run was ordered.
	 * @return whether this is the first order
	 */
	boolean markStopOrdered() {
		boolean first = !this.stopOrdered;
		this.stopOrdered = true;
		return first;
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

	Phase phase() {
		return this.phase;
	}

	long orderNumber() {
		return this.orderNumber;
	}

	long phaseSinceNanos() {
		return this.phaseSinceNanos;
	}

	long progressNanos() {
		return this.progressNanos;
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
