package org.crocuspost.job;

/**
 * How far a task is. Mutable; belongs to the leader's event loop.
 */
public final class TaskProgress {

	private static final String NONE = "-";

	private final TaskKey key;

	private final StepSpecification step;

	private TaskStatus status = TaskStatus.WAITING;

	private int run;

	private int failures;

	private String host = "";

	private String worker = "";

	private long workerStartMillis;

	private String checkpoint = "";

	/**
	 * Creates a task that has never run.
	 * @param key the identity of the task
	 * @param step the step that it belongs to
	 */
	public TaskProgress(TaskKey key, StepSpecification step) {
		this.key = key;
		this.step = step;
	}

	/**
	 * Assigns the next run to a worker.
	 * @param nextRun the number of the run, above all earlier ones
	 * @param onHost the host of the worker
	 * @param onWorker the worker
	 * @param born the start of the worker, Unix time in milliseconds
	 */
	public void assign(int nextRun, String onHost, String onWorker, long born) {
		if (nextRun <= this.run) {
			throw new IllegalStateException("run " + nextRun + " of " + this.key + " is not new");
		}
		this.status = TaskStatus.PLACED;
		this.run = nextRun;
		this.host = onHost;
		this.worker = onWorker;
		this.workerStartMillis = born;
	}

	/**
	 * Makes the task wait for another run after the last one has ended.
	 * @param failed whether that end counts as a failed attempt
	 */
	public void endRun(boolean failed) {
		this.status = TaskStatus.WAITING;
		this.failures += failed ? 1 : 0;
		clearPlace();
	}

	/**
	 * Makes the task wait for another run after the last one was lost.
	 */
	public void loseRun() {
		this.status = TaskStatus.WAITING_AFTER_LOSS;
		clearPlace();
	}

	/**
	 * Marks the task as done.
	 */
	public void complete() {
		this.status = TaskStatus.DONE;
		clearPlace();
	}

	private void clearPlace() {
		this.host = "";
		this.worker = "";
		this.workerStartMillis = 0;
	}

	/**
	 * Keeps the newest saved progress.
	 * @param saved opaque text from the worker; empty for none
	 */
	public void saveCheckpoint(String saved) {
		if (!saved.isEmpty()) {
			this.checkpoint = saved;
		}
	}

	/**
	 * Says whether the task has been run or assigned at least once.
	 * @return true if it has
	 */
	public boolean touched() {
		return this.run > 0;
	}

	/**
	 * Writes the state as one line without spaces at its ends.
	 * @return the line
	 */
	public String write() {
		return this.key.occurrence() + " " + this.key.step() + " " + this.key.index() + " " + this.status.ordinal()
				+ " " + this.run + " " + this.failures + " " + orNone(this.host) + " " + orNone(this.worker) + " "
				+ this.workerStartMillis + " " + orNone(this.checkpoint);
	}

	void restore(String[] parts) {
		int field = 3;
		this.status = TaskStatus.values()[Integer.parseInt(parts[field++])];
		this.run = Integer.parseInt(parts[field++]);
		this.failures = Integer.parseInt(parts[field++]);
		this.host = orEmpty(parts[field++]);
		this.worker = orEmpty(parts[field++]);
		this.workerStartMillis = Long.parseLong(parts[field++]);
		this.checkpoint = orEmpty(parts[field]);
	}

	private static String orNone(String text) {
		return text.isEmpty() ? NONE : text;
	}

	private static String orEmpty(String text) {
		return text.equals(NONE) ? "" : text;
	}

	public TaskKey key() {
		return this.key;
	}

	public StepSpecification step() {
		return this.step;
	}

	public TaskStatus status() {
		return this.status;
	}

	public int run() {
		return this.run;
	}

	public int failures() {
		return this.failures;
	}

	public String host() {
		return this.host;
	}

	public String worker() {
		return this.worker;
	}

	public long workerStartMillis() {
		return this.workerStartMillis;
	}

	public String checkpoint() {
		return this.checkpoint;
	}

}
