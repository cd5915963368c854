package org.crocuspost.ingress;

import org.crocuspost.log.LogEvent;

/**
 * Log events of the handling of callers' requests.
 */
public enum IngressEvent implements LogEvent {

	/**
	 * A job was accepted and stored.
	 */
	JOB_ACCEPTED,

	/**
	 * A submitted job was not accepted, or its acceptance is unknown.
	 */
	JOB_REFUSED,

	/**
	 * A submitted job was rejected because of the backlog, or was to be, but its ID could
	 * not be taken, so that it was stored like any other.
	 */
	JOB_REJECTED,

	/**
	 * The published work ahead of new jobs cannot be parsed. Nothing is rejected.
	 */
	ADMISSION_IGNORED,

	/**
	 * A cancellation request was answered, whether it was stored or not.
	 */
	CANCELLATION_ANSWERED,

	/**
	 * A job that is not stored was cancelled; its ID is taken, so that a delayed write of
	 * the job is refused.
	 */
	JOB_WITHDRAWN,

	/**
	 * The store has answered after the caller got its final answer.
	 */
	ANSWER_TOO_LATE,

	/**
	 * A row of a caller was not sent to the store, since the outcome was not expected
	 * before the caller's answer is due.
	 */
	WRITE_REJECTED,

	/**
	 * The caller of a row was answered before the outcome of the write was known.
	 */
	WRITE_ABANDONED,

	/**
	 * A read has found the row of a write that the store has not answered.
	 */
	WRITE_FOUND,

	/**
	 * Rows are sent again, since a read has shown that they do not exist.
	 */
	WRITES_REPEATED,

	/**
	 * The store has not answered a transaction; its outcome is read.
	 */
	GROUP_UNRESOLVED,

	/**
	 * A row of a transaction exists already; the other rows are sent again.
	 */
	GROUP_SPLIT,

	/**
	 * The entry process is stopping, and the open requests must be answered within a time
	 * limit.
	 */
	ANSWERS_LIMITED,

	/**
	 * A stored progress row of a job cannot be parsed and was ignored.
	 */
	PROGRESS_IGNORED,

	/**
	 * A caller has received the number of pending jobs of a queue. The line tells from
	 * which state of the ledger they were counted; the number of lines is limited.
	 */
	PENDING_ANSWERED,

	/**
	 * The entry process became ready to receive requests, or is no longer ready.
	 */
	READINESS_CHANGED,

	/**
	 * The connections of callers could not be closed when the entry process stopped.
	 */
	CLOSE_FAILED

}
