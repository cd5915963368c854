package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.platform.worker.UsageReport;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.wire.AttemptReport;

/**
 * What the agent knows about one attempt.
 */
final class Attempt {

	static final int FULL_SPEED = 100;

	private final AttemptKey key;

	private final long epoch;

	private final String job;

	private final Resources reserved;

	private final Stopwatch lastCheckpoint;

	private Phase phase;

	private String checkpoint;

	private String message = "";

	private Resources used = Resources.NONE;

	private Duration usedAge = Duration.ZERO;

	private int throttlePercent = FULL_SPEED;

	private boolean evictRequested;

	Attempt(TaskState state, long epoch, Stopwatch lastCheckpoint) {
		this.key = state.attempt();
		this.epoch = epoch;
		this.job = state.jobName();
		this.reserved = state.resources();
		this.phase = state.phase();
		this.checkpoint = state.checkpoint();
		this.message = state.message();
		this.lastCheckpoint = lastCheckpoint;
	}

	void update(TaskState state) {
		this.phase = state.phase();
		this.message = state.message();
		if (!state.checkpoint().isEmpty()) {
			this.checkpoint = state.checkpoint();
		}
	}

	Attempt checkpointed(Stopwatch now) {
		Attempt copy = new Attempt(state(), this.epoch, now);
		copy.used = this.used;
		copy.usedAge = this.usedAge;
		copy.throttlePercent = this.throttlePercent;
		copy.evictRequested = this.evictRequested;
		return copy;
	}

	void measured(UsageReport usage) {
		this.used = usage.used();
		this.usedAge = usage.age();
	}

	void throttled(int percent) {
		this.throttlePercent = percent;
	}

	void requestEviction() {
		this.evictRequested = true;
	}

	AttemptKey key() {
		return this.key;
	}

	boolean running() {
		return this.phase == Phase.RUNNING;
	}

	long memoryHeld() {
		return Math.max(this.reserved.memoryMebibytes(), this.used.memoryMebibytes());
	}

	long memoryExcess() {
		return this.used.memoryMebibytes() - this.reserved.memoryMebibytes();
	}

	Resources held() {
		return new Resources(this.reserved.milliCores(), memoryHeld(), this.reserved.accelerators());
	}

	boolean checkpointDue(Duration interval) {
		return running() && this.lastCheckpoint.observerElapsed().compareTo(interval) >= 0;
	}

	TaskState state() {
		return new TaskState(this.key, this.job, this.phase, this.reserved, this.checkpoint, this.message);
	}

	RunningAttempt view() {
		return new RunningAttempt(this.key, this.job, this.reserved, this.used, this.usedAge, this.throttlePercent,
				this.evictRequested);
	}

	AttemptReport report() {
		return AttemptReport.newBuilder()
			.setTaskId(this.key.taskId())
			.setAttempt(this.key.attempt())
			.setEpoch(this.epoch)
			.setPhase(WirePhases.toWire(this.phase))
			.setCheckpoint(this.checkpoint)
			.setMessage(this.message)
			.setJob(this.job)
			.setReserved(WireResources.toWire(this.reserved))
			.setUsed(WireResources.toWire(this.used))
			.setUsedAgeMilliseconds(this.usedAge.toMillis())
			.setThrottlePercent(this.throttlePercent)
			.setEvictRequested(this.evictRequested)
			.build();
	}

}
