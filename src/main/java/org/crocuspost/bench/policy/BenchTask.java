package org.crocuspost.bench.policy;

import org.crocuspost.interference.ControlledAttempt;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.jspecify.annotations.Nullable;

/**
 * A simulated batch task and its progress. Work and progress are in seconds of execution
 * at full speed.
 */
final class BenchTask {

	static final int START_UP_SECONDS = 5;

	private static final int CHECKPOINT_SECONDS = 60;

	private final String id;

	private final JobProfile job;

	private final int arrivalStep;

	private final double workSeconds;

	private State state = State.PENDING;

	private @Nullable BenchWorker worker;

	private Resources reserved = Resources.NONE;

	private long attempt;

	private int sharePercent = 100;

	private int runSeconds;

	private double progress;

	private double checkpoint;

	BenchTask(String id, JobProfile job, int arrival, double workSeconds) {
		this.id = id;
		this.job = job;
		this.arrivalStep = arrival;
		this.workSeconds = workSeconds;
	}

	void start(BenchWorker target, Resources resources) {
		this.state = State.RUNNING;
		this.worker = target;
		this.reserved = resources;
		this.attempt++;
		this.sharePercent = 100;
		this.runSeconds = 0;
	}

	/**
	 * Simulates one second of execution. The task makes no progress while it starts up.
	 * @param speed the share of its processor time that the task gets, 0 to 1
	 * @return whether the task has completed its work
	 */
	boolean advance(double speed) {
		this.runSeconds++;
		if (this.runSeconds > START_UP_SECONDS) {
			this.progress += speed;
		}
		if (this.job.specification().checkpointed() && this.runSeconds % CHECKPOINT_SECONDS == 0) {
			this.checkpoint = this.progress;
		}
		return this.progress >= this.workSeconds;
	}

	/**
	 * Moves the task from its worker back to pending in a planned way. A job that writes
	 * checkpoints writes one first, so its task loses no progress.
	 */
	void evict() {
		if (this.job.specification().checkpointed()) {
			this.checkpoint = this.progress;
		}
		resetToCheckpoint();
	}

	/**
	 * Moves the task from its worker back to pending without notice. It resumes later
	 * from its last checkpoint.
	 */
	void resetToCheckpoint() {
		this.progress = this.checkpoint;
		this.worker = null;
		this.state = State.PENDING;
	}

	void finish(State finalState) {
		this.state = finalState;
		this.worker = null;
	}

	ControlledAttempt controlledAttempt() {
		return new ControlledAttempt(new AttemptKey(this.id, this.attempt), this.job.name(), this.reserved);
	}

	AttemptKey key() {
		return new AttemptKey(this.id, this.attempt);
	}

	double usedCores() {
		return this.job.usedShare() * this.job.specification().size().milliCores() / 1000.0;
	}

	double noise() {
		return this.job.noise(this.runSeconds);
	}

	double usefulCoreSeconds() {
		return Math.min(this.progress, this.workSeconds) * usedCores();
	}

	String id() {
		return this.id;
	}

	JobProfile job() {
		return this.job;
	}

	int arrivalStep() {
		return this.arrivalStep;
	}

	State state() {
		return this.state;
	}

	@Nullable BenchWorker worker() {
		return this.worker;
	}

	Resources reserved() {
		return this.reserved;
	}

	int sharePercent() {
		return this.sharePercent;
	}

	void sharePercent(int newSharePercent) {
		this.sharePercent = newSharePercent;
	}

	/**
	 * State of a task.
	 */
	enum State {

		/**
		 * Waiting for a worker.
		 */
		PENDING,

		/**
		 * Running on a worker.
		 */
		RUNNING,

		/**
		 * Completed.
		 */
		DONE,

		/**
		 * Cancelled.
		 */
		CANCELLED

	}

}
