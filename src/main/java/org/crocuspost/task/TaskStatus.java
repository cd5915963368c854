package org.crocuspost.task;

/**
 * State of a task in the table.
 */
public enum TaskStatus {

	/**
	 * The task is not assigned to a worker and waits for one.
	 */
	PENDING,

	/**
	 * The task is assigned to a worker and may run there.
	 */
	CLAIMED,

	/**
	 * The worker has confirmed that the task runs.
	 */
	RUNNING,

	/**
	 * The task is being evicted from its worker; it may still run there.
	 */
	EVICTING,

	/**
	 * The task is being cancelled; it may still run.
	 */
	CANCELLING,

	/**
	 * The task has completed successfully.
	 */
	SUCCEEDED,

	/**
	 * The task has failed and is not retried; the record holds the reason.
	 */
	FAILED,

	/**
	 * The task was cancelled and does not run.
	 */
	CANCELLED;

	/**
	 * Returns whether this state is final, so that the task cannot leave it.
	 * @return true if the state is final
	 */
	public boolean terminal() {
		return this == SUCCEEDED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Returns whether an attempt of the task may be running on a worker.
	 * @return true if one may be running
	 */
	public boolean mayRun() {
		return this == CLAIMED || this == RUNNING || this == EVICTING || this == CANCELLING;
	}

}
