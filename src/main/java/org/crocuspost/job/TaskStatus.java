package org.crocuspost.job;

/**
 * How far a task is.
 */
public enum TaskStatus {

	/**
	 * Waits for a run. All runs up to the last one have ended.
	 */
	WAITING,

	/**
	 * Waits for a run after the last one was lost: its end was never seen, and its lease
	 * has lapsed. An end of that run that arrives late still counts.
	 */
	WAITING_AFTER_LOSS,

	/**
	 * Assigned to a worker: it may be running there.
	 */
	PLACED,

	/**
	 * Done.
	 */
	DONE;

	/**
	 * Says whether the task waits for a run.
	 * @return true if it does
	 */
	public boolean waiting() {
		return this == WAITING || this == WAITING_AFTER_LOSS;
	}

}
