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
 * State of one attempt as last received from the worker runtime, with the throttle limit
 * that the agent has applied to it and whether its eviction has been requested.
 */
final class Attempt {

	static final int FULL_SHARE_PERCENT = 100;

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

	private int throttlePercent = FULL_SHARE_PERCENT;

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

	Attempt withLastCheckpoint(Stopwatch newCheckpoint) {
		Attempt copy = new Attempt(toTaskState(), this.epoch, newCheckpoint);
		copy.used = this.used;
		copy.usedAge = this.usedAge;
		copy.throttlePercent = this.throttlePercent;
		copy.evictRequested = this.evictRequested;
		return copy;
	}

	void updateUsage(UsageReport usage) {
		this.used = usage.used();
		this.usedAge = usage.age();
	}

	void setThrottlePercent(int percent) {
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

	long occupiedMemoryMebibytes() {
		return Math.max(this.reserved.memoryMebibytes(), this.used.memoryMebibytes());
	}

	long excessMemoryMebibytes() {
		return this.used.memoryMebibytes() - this.reserved.memoryMebibytes();
	}

	Resources occupiedResources() {
		return new Resources(this.reserved.milliCores(), occupiedMemoryMebibytes(), this.reserved.accelerators());
	}

	boolean isCheckpointDue(Duration interval) {
		return running() && this.lastCheckpoint.observerElapsed().compareTo(interval) >= 0;
	}

	TaskState toTaskState() {
		return new TaskState(this.key, this.job, this.phase, this.reserved, this.checkpoint, this.message);
	}

	RunningAttempt toRunningAttempt() {
		return new RunningAttempt(this.key, this.job, this.reserved, this.used, this.usedAge, this.throttlePercent,
				this.evictRequested);
	}

	AttemptReport toReport() {
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
