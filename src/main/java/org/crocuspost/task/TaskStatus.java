package org.crocuspost.task;

/**
 * State of a task in the table.
 */
public enum TaskStatus {

	/**
	 * The task waits for a worker.
	 */
	PENDING,

	/**
	 * The task is assigned to a worker and may run there.
	 */
	CLAIMED,

	/**
	 * The worker confirmed that the task runs.
	 */
	RUNNING,

	/**
	 * The task is to leave its worker; it may still run there.
	 */
	EVICTING,

	/**
	 * The task is to be cancelled; it may still run.
	 */
	CANCELLING,

	/**
	 * The task has done its work.
	 */
	SUCCEEDED,

	/**
	 * The task is given up, with the reason.
	 */
	FAILED,

	/**
	 * The task was cancelled and does not run.
	 */
	CANCELLED;

	/**
	 * Says whether the task can leave this state.
	 * @return true if it cannot
	 */
	public boolean terminal() {
		return this == SUCCEEDED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Says whether an attempt of the task may be running on a worker.
	 * @return true if it may
	 */
	public boolean mayRun() {
		return this == CLAIMED || this == RUNNING || this == EVICTING || this == CANCELLING;
	}

}
