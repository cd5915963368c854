package org.crocuspost.scheduler;

import org.crocuspost.log.LogEvent;

/**
 * Events of the scheduler.
 */
public enum SchedulerEvent implements LogEvent {

	/**
	 * This process began to hold the lease of a failure domain.
	 */
	SHARD_TAKEN,

	/**
	 * The table service failed a call of a round.
	 */
	SCHEDULER_STORE_FAILED,

	/**
	 * A transaction was refused because a row had changed.
	 */
	SCHEDULER_TRANSACTION_REFUSED,

	/**
	 * The answer to a transaction was lost.
	 */
	SCHEDULER_COMMIT_UNKNOWN,

	/**
	 * A task was claimed for a worker.
	 */
	TASK_CLAIMED,

	/**
	 * A task left its worker without having ended and waits for the next claim.
	 */
	TASK_REQUEUED,

	/**
	 * The reason why the tasks of a job wait has changed.
	 */
	JOB_WAITS,

	/**
	 * All task leases of a silent worker have lapsed.
	 */
	WORKER_LAPSED,

	/**
	 * A task was given up.
	 */
	TASK_GIVEN_UP,

	/**
	 * A worker gets no tasks for a while because everything that started there failed.
	 */
	WORKER_ON_PROBATION,

	/**
	 * A job is held because its tasks fail on every worker.
	 */
	JOB_HELD

}
