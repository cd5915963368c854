package org.crocuspost.lead;

import org.crocuspost.log.LogEvent;

/**
 * Events of the leadership and of the leader's decisions.
 */
public enum LeadEvent implements LogEvent {

	/**
	 * This process has become the leader.
	 */
	LEADERSHIP_WON,

	/**
	 * This process is no longer the leader.
	 */
	LEADERSHIP_LOST,

	/**
	 * This process has given the leadership up.
	 */
	LEADERSHIP_RESIGNED,

	/**
	 * The jobs and hosts in the store were read; decisions begin.
	 */
	STATE_RESTORED,

	/**
	 * A transaction of the leader failed and is tried again.
	 */
	RECORD_DELAYED,

	/**
	 * The leader records again.
	 */
	RECORD_REGAINED,

	/**
	 * A row of another writer could not be read and is ignored.
	 */
	ROW_IGNORED,

	/**
	 * The leader learned of a job.
	 */
	JOB_SEEN,

	/**
	 * A job has ended.
	 */
	JOB_ENDED,

	/**
	 * A task was assigned to a worker.
	 */
	TASK_PLACED,

	/**
	 * A run has ended as its worker says, or was never ordered.
	 */
	RUN_ENDED,

	/**
	 * A run was given up without an end from its worker; its task starts again.
	 */
	RUN_LOST,

	/**
	 * What the leader believes of a host has changed.
	 */
	HOST_CHANGED

}
