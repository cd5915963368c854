package org.crocuspost.standin.worker;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.platform.worker.TaskStart;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.TaskState.Phase;

/**
 * One attempt on a worker stand-in. Its progress is worked out on demand, so it needs no
 * timer: whatever ends first, the work or the lease, has ended the attempt at its time.
 */
final class Run {

	private static final int FULL_SPEED = 100;

	private static final String CHECKPOINT_PREFIX = "progress-";

	private final String worker;

	private final TaskStart start;

	private final TaskBehavior behavior;

	private final Instant started;

	private final Duration startProgress;

	private Duration progress;

	private Instant settled;

	private Instant leaseEnd;

	private Instant ended = Instant.MAX;

	private Phase phase = Phase.RUNNING;

	private int throttle = FULL_SPEED;

	private String checkpoint;

	Run(String worker, TaskStart start, TaskBehavior behavior, Instant now) {
		this.worker = worker;
		this.start = start;
		this.behavior = behavior;
		this.started = now;
		this.settled = now;
		this.leaseEnd = now.plus(start.lease());
		this.checkpoint = start.checkpoint();
		this.startProgress = progressOf(start.checkpoint());
		this.progress = this.startProgress;
	}

	void settle(Instant now) {
		if (!running()) {
			return;
		}
		Instant until = now.isBefore(this.leaseEnd) ? now : this.leaseEnd;
		Duration left = this.behavior.runTime().minus(this.progress);
		Duration needed = (this.throttle == 0) ? Duration.ofDays(1)
				: left.multipliedBy(FULL_SPEED).dividedBy(this.throttle);
		Instant done = this.settled.plus(needed);
		if (this.throttle > 0 && !done.isAfter(until)) {
			this.progress = this.behavior.runTime();
			end(this.behavior.fails() ? Phase.FAILED : Phase.SUCCEEDED, done);
			return;
		}
		Duration elapsed = Duration.between(this.settled, until);
		this.progress = this.progress.plus(elapsed.multipliedBy(this.throttle).dividedBy(FULL_SPEED));
		this.settled = until;
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
		this.throttle = percent;
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
