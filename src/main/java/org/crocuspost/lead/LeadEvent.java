package org.crocuspost.lead;

import org.crocuspost.log.LogEvent;

/**
 * Log events of leader election and of the leader's decisions.
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
	 * This process has resigned as the leader.
	 */
	LEADERSHIP_RESIGNED,

	/**
	 * This process has recorded that an earlier incarnation of it, which was the leader,
	 * has ended.
	 */
	END_RECORDED,

	/**
	 * A new leader has learned that its predecessor has ended, so that it extends no
	 * lease any more.
	 */
	FORMER_LEADER_ENDED,

	/**
	 * The leader has read the jobs and hosts from the store and starts to make decisions.
	 */
	STATE_RESTORED,

	/**
	 * A new leader has not restored its state yet and starts nothing, at an interval of
	 * seconds. The line names the table that it reads, the failures and their reason.
	 */
	STATE_NOT_RESTORED,

	/**
	 * The leader has not read accepted jobs for some seconds, at an interval of seconds.
	 */
	SUBMISSIONS_DELAYED,

	/**
	 * The leader has assigned no tasks to workers for over a second, with the reasons and
	 * the ages of the information, at an interval of seconds.
	 */
	DISPATCH_SUSPENDED,

	/**
	 * The leader assigns tasks to workers again.
	 */
	DISPATCH_RESUMED,

	/**
	 * A read of a table by a new leader has failed and is retried.
	 */
	READ_DELAYED,

	/**
	 * A transaction of the leader has failed and is retried.
	 */
	RECORD_DELAYED,

	/**
	 * The store rejects a transaction of the leader for what it contains. It is tried
	 * again in smaller parts.
	 */
	RECORD_REJECTED,

	/**
	 * A transaction of the leader was applied after failed attempts.
	 */
	RECORD_REGAINED,

	/**
	 * A row that another process wrote is ignored, since it is malformed or out of date.
	 */
	ROW_IGNORED,

	/**
	 * The leader has read an accepted job.
	 */
	JOB_SEEN,

	/**
	 * A job has ended.
	 */
	JOB_ENDED,

	/**
	 * A task has been assigned to a worker.
	 */
	TASK_PLACED,

	/**
	 * The first task of a job has begun on its worker, according to a report.
	 */
	JOB_STARTED,

	/**
	 * A run has ended according to its worker, or the order to start it was never sent.
	 */
	RUN_ENDED,

	/**
	 * A worker has reported the end of a run that changes nothing: the leader does not
	 * know the task, or the task is at another run or done already.
	 */
	END_IGNORED,

	/**
	 * A run is stopped although its job goes on; its task starts again.
	 */
	RUN_STOPPED,

	/**
	 * A run was given up without a report of its end from its worker; its task starts
	 * again.
	 */
	RUN_LOST,

	/**
	 * A report lists the next run of a long-running task after the end or the loss of its
	 * last one.
	 */
	TASK_REGAINED,

	/**
	 * Long-running tasks are not known to run, at most once a second. The line counts
	 * them by reason and names some. One without tasks follows when all run again.
	 */
	TASKS_UNAVAILABLE,

	/**
	 * Nothing is known to run of a batch job although the turn of a task has come. There
	 * is a line for each job and reason, and a limited number of them a second. It tells
	 * the state of an assigned task, or what keeps a waiting one from each worker.
	 */
	JOB_UNAVAILABLE,

	/**
	 * Some time after a takeover, the hosts that have not reported to the new leader and
	 * to which former leaders assigned runs.
	 */
	INHERITED_HOSTS_CHECKED,

	/**
	 * A worker has crashed. The line names the tasks that were started shortly before.
	 */
	WORKER_CRASHED,

	/**
	 * A task that was started shortly before the crash of a worker is no longer suspected
	 * to be the cause.
	 */
	SUSPICION_CLEARED,

	/**
	 * The leader's view of the state of a host has changed.
	 */
	HOST_CHANGED,

	/**
	 * The connection to a host is closed because of a network error or a message that
	 * cannot be processed; it is opened again.
	 */
	CONNECTION_FAILED,

	/**
	 * Bytes that the leader has sent and received since the previous line, by kind of
	 * traffic.
	 */
	TRAFFIC_COUNTED,

	/**
	 * Waiting and running work of a queue, at a fixed interval.
	 */
	QUEUE_LOAD,

	/**
	 * How many workers the services occupy and how few could hold them, at a fixed
	 * interval.
	 */
	SERVICE_PACKING,

	/**
	 * How much the fillers of known images press on each service, at a fixed interval.
	 */
	IMAGE_PRESSURE,

	/**
	 * The leader has tried to move services together to free workers for fillers.
	 */
	CONSOLIDATION_ATTEMPTED,

	/**
	 * More rows wait to be recorded than one transaction holds, at most once a second.
	 */
	RECORD_BACKLOG,

	/**
	 * The leader publishes the work ahead of new jobs, or that no queue has a lasting
	 * backlog.
	 */
	ADMISSION_PUBLISHED,

	/**
	 * Rows that took the place of rejected jobs were removed.
	 */
	REJECTED_JOBS_REMOVED,

	/**
	 * A job is ranked behind all jobs of use, since it cannot end while of use.
	 */
	JOB_DEFERRED,

	/**
	 * A deferred job is ranked with the jobs of use again.
	 */
	JOB_RESUMED

}
