package org.crocuspost.job;

/**
 * Progress of a task. Mutable; used on the leader's event loop only.
 */
public final class TaskProgress {

	private final TaskKey key;

	private final StepSpecification step;

	private TaskStatus status = TaskStatus.WAITING;

	private int run;

	private int failures;

	private String host = "";

	private String worker = "";

	private long workerStartMillis;

	private String checkpoint = "";

	private int maximumCheckpointLength = Integer.MAX_VALUE;

	private int crashes;

	private int crashedRuns;

	/**
	 * Creates the progress of a task that has never run.
	 * @param key the identity of the task
	 * @param step the step to which the task belongs
	 */
	public TaskProgress(TaskKey key, StepSpecification step) {
		this.key = key;
		this.step = step;
	}

	/**
	 * Assigns the next run of the task to a worker.
	 * @param nextRun the number of the run, which must be higher than all earlier ones
	 * @param assignedHost the host of the worker
	 * @param assignedWorker the worker
	 * @param assignedWorkerStartMillis the start time of the worker, Unix time in
	 * milliseconds
	 */
	public void assign(int nextRun, String assignedHost, String assignedWorker, long assignedWorkerStartMillis) {
		if (nextRun <= this.run) {
			throw new IllegalStateException(
					"run " + nextRun + " of " + this.key + " must have a higher number than all earlier runs");
		}
		this.status = TaskStatus.PLACED;
		this.run = nextRun;
		this.host = assignedHost;
		this.worker = assignedWorker;
		this.workerStartMillis = assignedWorkerStartMillis;
	}

	/**
	 * Marks the task as waiting for another run after the last one has ended.
	 * @param failed whether the run counts as a failed attempt
	 */
	public void endRun(boolean failed) {
		this.status = TaskStatus.WAITING;
		this.failures += failed ? 1 : 0;
		clearAssignment();
	}

	/**
	 * Marks the task as waiting for another run after the last one was lost.
	 */
	public void loseRun() {
		this.status = TaskStatus.WAITING_AFTER_LOSS;
		clearAssignment();
	}

	/**
	 * Counts a worker that crashed while it ran the task.
	 * @param onProbation whether the run was on probation, so that the task may be the
	 * cause
	 */
	public void countCrash(boolean onProbation) {
		this.crashedRuns++;
		this.crashes += onProbation ? 1 : 0;
	}

	/**
	 * Withdraws a crash, since the worker turned out not to have crashed.
	 * @param onProbation whether the run was on probation
	 */
	public void withdrawCrash(boolean onProbation) {
		this.crashedRuns = Math.max(0, this.crashedRuns - 1);
		this.crashes = Math.max(0, this.crashes - (onProbation ? 1 : 0));
	}

	/**
	 * Forgets the crashes that the task may have caused, but not how many workers have
	 * crashed while they ran it.
	 */
	public void clearSuspectedCrashes() {
		this.crashes = 0;
	}

	/**
	 * Forgets all crashes, since the task has proved not to be their cause.
	 */
	public void clearCrashes() {
		this.crashes = 0;
		this.crashedRuns = 0;
	}

	/**
	 * Marks the task as done.
	 */
	public void complete() {
		this.status = TaskStatus.DONE;
		clearAssignment();
	}

	private void clearAssignment() {
		this.host = "";
		this.worker = "";
		this.workerStartMillis = 0;
	}

	/**
	 * Records a checkpoint that replaces the previous one.
	 * @param newCheckpoint opaque text from the worker; if empty or too long, the
	 * previous checkpoint stays
	 */
	public void saveCheckpoint(String newCheckpoint) {
		if (!newCheckpoint.isEmpty() && newCheckpoint.length() <= this.maximumCheckpointLength) {
			this.checkpoint = newCheckpoint;
		}
	}

	/**
	 * Discards the checkpoint, since the store does not accept it, and ignores all later
	 * ones of at least its length.
	 */
	public void rejectCheckpoint() {
		this.maximumCheckpointLength = this.checkpoint.length() - 1;
		this.checkpoint = "";
	}

	/**
	 * Returns whether the task has been assigned or run at least once.
	 * @return true if the task has been assigned or run
	 */
	public boolean everAssigned() {
		return this.run > 0;
	}

	/**
	 * Encodes the progress.
	 * @return the value of the row of the task
	 */
	public String write() {
		return new TaskRow(this.status, this.run, this.failures, this.host, this.worker, this.workerStartMillis,
				this.checkpoint, this.crashes, this.crashedRuns)
			.write();
	}

	/**
	 * Restores the progress from its stored form.
	 * @param text the value of the row of the task
	 * @throws IllegalArgumentException if the value is malformed
	 */
	void restore(String text) {
		TaskRow row = TaskRow.read(text);
		this.status = row.status();
		this.run = row.run();
		this.failures = row.failures();
		this.host = row.host();
		this.worker = row.worker();
		this.workerStartMillis = row.workerStartMillis();
		this.checkpoint = row.checkpoint();
		this.crashes = row.crashes();
		this.crashedRuns = row.crashedRuns();
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

	/**
	 * Returns the number of workers that crashed while a run of the task was on
	 * probation, since the task was last cleared.
	 * @return the number of crashes that the task may have caused
	 */
	public int crashes() {
		return this.crashes;
	}

	/**
	 * Returns the number of workers that crashed while they ran the task, since it was
	 * last cleared.
	 * @return the number of crashes, whatever their cause
	 */
	public int crashedRuns() {
		return this.crashedRuns;
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
