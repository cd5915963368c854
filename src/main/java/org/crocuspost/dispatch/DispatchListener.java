package org.crocuspost.dispatch;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.TaskProgress;

/**
 * Learns of decisions, for logs and metrics.
 */
public interface DispatchListener {

	/**
	 * A job was learned of.
	 * @param job the job
	 */
	void jobSeen(JobProgress job);

	/**
	 * A job has ended.
	 * @param job the job
	 * @param reason why it ended
	 */
	void jobEnded(JobProgress job, String reason);

	/**
	 * A task was assigned to a worker.
	 * @param task the task
	 * @param waitedMillis how long the job has been known, in milliseconds
	 */
	void placed(TaskProgress task, long waitedMillis);

	/**
	 * A run has ended as its worker says, or was never ordered.
	 * @param task the task, already settled
	 * @param run the number of the run
	 * @param host the host
	 * @param outcome how it ended
	 */
	void runEnded(TaskProgress task, int run, String host, String outcome);

	/**
	 * A run was given up without an end from its worker.
	 * @param task the task, which waits for another run
	 * @param run the number of the run
	 * @param host the host
	 * @param reason why it was given up
	 * @param evidence what that rests on
	 */
	void runLost(TaskProgress task, int run, String host, String reason, Evidence evidence);

	/**
	 * What is believed of a host has changed.
	 * @param host the host
	 * @param belief the new belief
	 * @param detail the inputs that decided it
	 */
	void hostChanged(String host, String belief, String detail);

}
