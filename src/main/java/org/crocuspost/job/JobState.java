package org.crocuspost.job;

import java.util.Locale;

/**
 * State of a job as callers see it.
 */
public enum JobState {

	/**
	 * No task has started.
	 */
	QUEUED,

	/**
	 * A task has started.
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
	 * Says whether the job has ended for good.
	 * @return true if no task of it starts again
	 */
	public boolean terminal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Returns the state as callers read it.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
