package org.crocuspost.job;

/**
 * Status of a task.
 */
public enum TaskStatus {

	/**
	 * Waits for a run. All runs so far have ended.
	 */
	WAITING,

	/**
	 * Waits for a run after the last one was lost: its end was not reported, and its
	 * lease lapsed, its worker restarted or left, or a report of its host did not list
	 * it. An end of that run that is reported late still counts.
	 */
	WAITING_AFTER_LOSS,

	/**
	 * Assigned to a worker, where it may be running.
	 */
	PLACED,

	/**
	 * The task is complete.
	 */
	DONE;

	/**
	 * Returns the status with a number.
	 * @param ordinal the number
	 * @return the status
	 * @throws IllegalArgumentException if no status has this number
	 */
	static TaskStatus ofOrdinal(int ordinal) {
		if (ordinal < 0 || ordinal >= values().length) {
			throw new IllegalArgumentException("no status of a task has the number " + ordinal);
		}
		return values()[ordinal];
	}

	/**
	 * Returns whether the task waits for a run.
	 * @return true if the task waits for a run
	 */
	public boolean waiting() {
		return this == WAITING || this == WAITING_AFTER_LOSS;
	}

}
