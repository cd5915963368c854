package org.crocuspost.dispatch;

import org.crocuspost.job.TaskProgress;
import org.crocuspost.wire.RunningTask;
import org.jspecify.annotations.Nullable;

/**
 * A run of a task on a worker, as the leader knows it. Mutable.
 */
final class Placement {

	/**
	 * How far the run is.
	 */
	enum Phase {

		/**
		 * Not in the store yet; no order was sent.
		 */
		RECORDING,

		/**
		 * The start order was sent.
		 */
		ORDERED,

		/**
		 * Assigned by an earlier leader; the host has not reported yet.
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

	private long order;

	private long sinceNanos;

	private int progress = -1;

	private long progressNanos;

	private @Nullable RunningTask report;

	Placement(TaskProgress task, Phase phase, long nowNanos) {
		this.task = task;
		this.run = task.run();
		this.phase = phase;
		this.sinceNanos = nowNanos;
		this.progressNanos = nowNanos;
	}

	void ordered(long number, long nowNanos) {
		this.phase = Phase.ORDERED;
		this.order = number;
		this.sinceNanos = nowNanos;
	}

	void reported(RunningTask running, long nowNanos) {
		this.phase = Phase.REPORTED;
		this.report = running;
		// A run that is slowed down on purpose does not hang.
		if (running.getProgress() != this.progress || running.getPace() < ReportProcessor.STALL_MINIMUM_PACE) {
			this.progress = running.getProgress();
			this.progressNanos = nowNanos;
		}
	}

	/**
	 * Says whether the run counts for the task: it was not replaced and has not ended.
	 * @return true if it is the present run
	 */
	boolean current() {
		return this.task.run() == this.run && this.task.status() == org.crocuspost.job.TaskStatus.PLACED;
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

	long order() {
		return this.order;
	}

	long sinceNanos() {
		return this.sinceNanos;
	}

	long progressNanos() {
		return this.progressNanos;
	}

	@Nullable RunningTask report() {
		return this.report;
	}

}
