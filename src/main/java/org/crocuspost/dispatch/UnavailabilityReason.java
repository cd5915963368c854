package org.crocuspost.dispatch;

import java.util.Locale;

/**
 * Says why a task whose turn has come is not known to run, that is, which information or
 * decision the leader waits for.
 */
public enum UnavailabilityReason {

	/**
	 * The host of the run has not reported to this leader.
	 */
	UNCONFIRMED_NO_REPORT,

	/**
	 * The host of the run has reported to this leader, but is not connected.
	 */
	UNCONFIRMED_DISCONNECTED,

	/**
	 * The agent of the host reports that its worker does not answer, or knows no worker.
	 */
	UNCONFIRMED_SILENT,

	/**
	 * The worker answers, but its lists have not confirmed the inherited run yet, or no
	 * longer confirm a run that they contained.
	 */
	UNCONFIRMED_INCOMPLETE,

	/**
	 * A host lists a run that is not assigned to it. The task waits for the end of that
	 * run.
	 */
	UNASSIGNED_RUN,

	/**
	 * The leader starts nothing: the store does not confirm it, or its view of the
	 * operator's rows is too old.
	 */
	STORE,

	/**
	 * The configuration that the leader has read does not contain the queue of the job.
	 */
	NO_QUEUE,

	/**
	 * No worker of the service accepts tasks.
	 */
	NO_WORKER,

	/**
	 * The task is suspected to crash workers and waits for a worker for its probation. A
	 * worker has room.
	 */
	PROBATION,

	/**
	 * Workers have room for the task, and a condition excludes each of them, such as a
	 * suspected task that is on probation there, a quarantine, or the pressure on
	 * services.
	 */
	EXCLUDED,

	/**
	 * No worker that accepts tasks has room for the task.
	 */
	NO_ROOM,

	/**
	 * A worker has room for the task, but its gang has not found workers for all tasks.
	 */
	GANG,

	/**
	 * A worker has room, but the leader has not assigned the task, for example since it
	 * waits for the answer of the store to an earlier transaction.
	 */
	UNDECIDED,

	/**
	 * The task is assigned, but the store has not confirmed the assignment.
	 */
	RECORDING,

	/**
	 * The start was ordered, but no report lists the run.
	 */
	ORDERED,

	/**
	 * The agent has ordered the start, but the worker has not confirmed it.
	 */
	PENDING;

	/**
	 * Returns the reason as it appears in logs and metrics.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
