package org.crocuspost.job;

import java.util.Locale;

/**
 * State of a job as reported to callers.
 */
public enum JobState {

	/**
	 * No task is known to have started on a worker. Tasks may be assigned.
	 */
	QUEUED,

	/**
	 * A worker has listed a task as running or ended.
	 */
	ACTIVE,

	/**
	 * All tasks are done.
	 */
	COMPLETED,

	/**
	 * A task has failed too often.
	 */
	FAILED,

	/**
	 * The caller has cancelled the job.
	 */
	CANCELLED;

	/**
	 * Returns whether the job has ended permanently.
	 * @return true if no task of the job starts again
	 */
	public boolean terminal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Returns the label of the state that callers receive.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
