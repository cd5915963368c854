package org.crocuspost.bench.policy;

import org.crocuspost.interference.ControlledAttempt;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.jspecify.annotations.Nullable;

/**
 * A task of the benchmark with its progress.
 */
final class BenchTask {

	static final int START_SECONDS = 5;

	private static final int CHECKPOINT_SECONDS = 60;

	private final String id;

	private final JobProfile job;

	private final int arrival;

	private final double workSeconds;

	private State state = State.PENDING;

	private @Nullable BenchWorker worker;

	private Resources reserved = Resources.NONE;

	private long attempt;

	private int percent = 100;

	private int runSeconds;

	private double progress;

	private double checkpoint;

	BenchTask(String id, JobProfile job, int arrival, double workSeconds) {
		this.id = id;
		this.job = job;
		this.arrival = arrival;
		this.workSeconds = workSeconds;
	}

	void start(BenchWorker target, Resources resources) {
		this.state = State.RUNNING;
		this.worker = target;
		this.reserved = resources;
		this.attempt++;
		this.percent = 100;
		this.runSeconds = 0;
	}

	/**
	 * Runs for a second.
	 * @param speed the share of its processor time that the task gets
	 * @return whether it has done all its work
	 */
	boolean advance(double speed) {
		this.runSeconds++;
		if (this.runSeconds > START_SECONDS) {
			this.progress += speed;
		}
		if (this.job.specification().checkpointed() && this.runSeconds % CHECKPOINT_SECONDS == 0) {
			this.checkpoint = this.progress;
		}
		return this.progress >= this.workSeconds;
	}

	/**
	 * Leaves its worker in a planned way.
	 */
	void evict() {
		if (this.job.specification().checkpointed()) {
			this.checkpoint = this.progress;
		}
		lose();
	}

	/**
	 * Leaves its worker without notice and resumes later from its last checkpoint.
	 */
	void lose() {
		this.progress = this.checkpoint;
		this.worker = null;
		this.state = State.PENDING;
	}

	void end(State last) {
		this.state = last;
		this.worker = null;
	}

	ControlledAttempt running() {
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

	int arrival() {
		return this.arrival;
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

	int percent() {
		return this.percent;
	}

	void percent(int newPercent) {
		this.percent = newPercent;
	}

	/**
	 * What a task does.
	 */
	enum State {

		/**
		 * Waits for a worker.
		 */
		PENDING,

		/**
		 * Runs on a worker.
		 */
		RUNNING,

		/**
		 * Has done its work.
		 */
		DONE,

		/**
		 * Was cancelled.
		 */
		CANCELLED

	}

}
