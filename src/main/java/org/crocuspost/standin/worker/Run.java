package org.crocuspost.standin.worker;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.TaskState.Phase;

/**
 * One attempt on a worker stand-in. Its progress is computed on demand, so no timer is
 * needed: the attempt ends when its work is done or when its lease expires, whichever is
 * earlier, and the end is recorded with that time.
 */
final class Run {

	private static final int FULL_SPEED_PERCENT = 100;

	private static final String CHECKPOINT_PREFIX = "progress-";

	private final String worker;

	private final TaskStart start;

	private final TaskBehavior behavior;

	private final Instant started;

	private final Duration startProgress;

	private Duration progress;

	private Instant progressUpdated;

	private Instant leaseEnd;

	private Instant ended = Instant.MAX;

	private Phase phase = Phase.RUNNING;

	private int speedPercent = FULL_SPEED_PERCENT;

	private String checkpoint;

	Run(String worker, TaskStart start, TaskBehavior behavior, Instant now) {
		this.worker = worker;
		this.start = start;
		this.behavior = behavior;
		this.started = now;
		this.progressUpdated = now;
		this.leaseEnd = now.plus(start.lease());
		this.checkpoint = start.checkpoint();
		this.startProgress = progressOf(start.checkpoint());
		this.progress = this.startProgress;
	}

	void updateProgress(Instant now) {
		if (!running()) {
			return;
		}
		Instant until = now.isBefore(this.leaseEnd) ? now : this.leaseEnd;
		Duration remaining = this.behavior.runTime().minus(this.progress);
		Duration needed = (this.speedPercent == 0) ? Duration.ofDays(1)
				: remaining.multipliedBy(FULL_SPEED_PERCENT).dividedBy(this.speedPercent);
		Instant completion = this.progressUpdated.plus(needed);
		if (this.speedPercent > 0 && !completion.isAfter(until)) {
			this.progress = this.behavior.runTime();
			end(this.behavior.fails() ? Phase.FAILED : Phase.SUCCEEDED, completion);
			return;
		}
		Duration elapsed = Duration.between(this.progressUpdated, until);
		this.progress = this.progress.plus(elapsed.multipliedBy(this.speedPercent).dividedBy(FULL_SPEED_PERCENT));
		this.progressUpdated = until;
		if (!now.isBefore(this.leaseEnd)) {
			end(Phase.STOPPED, this.leaseEnd);
		}
	}

	void renew(Instant now, Duration lease) {
		if (running()) {
			this.leaseEnd = now.plus(lease);
		}
	}

	void throttle(int percent) {
		this.speedPercent = percent;
	}

	void checkpoint() {
		if (running()) {
			this.checkpoint = CHECKPOINT_PREFIX + this.progress.toMillis();
		}
	}

	void stop(Instant now) {
		if (running()) {
			end(Phase.STOPPED, now);
		}
	}

	boolean running() {
		return this.phase == Phase.RUNNING;
	}

	TaskBehavior behavior() {
		return this.behavior;
	}

	Instant started() {
		return this.started;
	}

	TaskState state() {
		String message = (this.phase == Phase.FAILED) ? "exit status 1" : "";
		return new TaskState(this.start.attempt(), this.start.jobName(), this.phase, this.start.resources(),
				this.checkpoint, message);
	}

	RunRecord record() {
		return new RunRecord(this.worker, this.start.attempt(), this.start.jobName(), this.start.resources(),
				this.started, this.ended, this.startProgress, this.progress, this.phase);
	}

	private void end(Phase newPhase, Instant when) {
		this.phase = newPhase;
		this.ended = when;
	}

	private static Duration progressOf(String checkpoint) {
		if (checkpoint.isEmpty()) {
			return Duration.ZERO;
		}
		return Duration.ofMillis(Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length())));
	}

}
