package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;

/**
 * Receives scheduling decisions, for logs and metrics.
 */
public interface DispatchListener {

	/**
	 * Called when the leader processes a newly accepted job.
	 * @param job the job
	 */
	void jobSeen(JobProgress job);

	/**
	 * Called when a job has ended.
	 * @param job the job
	 * @param reason why it ended
	 * @param timing how long the job took
	 */
	void jobEnded(JobProgress job, String reason, JobTiming timing);

	/**
	 * Called when a task is assigned to a worker.
	 * @param task the task
	 * @param waitedMillis the time since the job was accepted, in milliseconds
	 */
	void placed(TaskProgress task, long waitedMillis);

	/**
	 * Called when the first task of a job has begun on a worker: a report lists a run of
	 * the job as running or ended, also one that was declared lost. Called at most once
	 * for each job.
	 *
	 * <p>
	 * Not called for a job that a former leader recorded as active, or with a task that
	 * is done or has failed, since it may have begun long ago. A job that is recorded as
	 * queued although a former leader had assigned a task is reported when this leader
	 * first receives a list with the run, so its age may be too high.
	 * @param job the job
	 * @param start which run has begun, and when
	 */
	void jobStarted(JobProgress job, JobStart start);

	/**
	 * Called when a worker has reported the end of a run, or when a run is cancelled
	 * before its start order was sent.
	 * @param task the task, already updated with the outcome
	 * @param run the number of the run
	 * @param host the host
	 * @param outcome how the run ended
	 */
	void runEnded(TaskProgress task, int run, String host, String outcome);

	/**
	 * Called when the end of a run that a worker has reported changes nothing. It is
	 * acknowledged nevertheless.
	 * @param task the identity of the task
	 * @param run the number of the run
	 * @param host the host
	 * @param outcome how the run ended
	 * @param reason why the end changes nothing
	 */
	void endIgnored(TaskKey task, int run, String host, String outcome, String reason);

	/**
	 * Called when a run is declared lost without a reported end from its worker.
	 * @param task the task, which waits for another run
	 * @param run the number of the run
	 * @param host the host
	 * @param reason why the run was declared lost
	 * @param evidence the information on which the decision is based
	 * @param observedRunTime for how long the run is known to have run
	 */
	void runLost(TaskProgress task, int run, String host, String reason, Evidence evidence, Duration observedRunTime);

	/**
	 * Called when a start was refused by the agent or the worker, before the run is
	 * declared lost.
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 * @param reason why the start was refused, in the words of the agent or the worker
	 */
	void startRefused(TaskProgress task, int run, String host, String reason);

	/**
	 * Called at the first report that lists the next run of a long-running task after the
	 * end or the loss of its last one.
	 * @param task the task
	 * @param regained the run and the time since the last one
	 */
	void taskRegained(TaskProgress task, RegainedTask regained);

	/**
	 * Called when a worker has crashed with runs that this leader assigned to it or
	 * inherited.
	 * @param host the host
	 * @param crash the crash
	 */
	void workerCrashed(String host, WorkerCrash crash);

	/**
	 * Called when a task is no longer suspected to crash workers.
	 * @param task the task, with the number of crashes counted until now
	 * @param reason why it is cleared
	 */
	void suspicionCleared(TaskProgress task, String reason);

	/**
	 * Called when the leader decides to stop a run whose job goes on.
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 * @param reason why the run is stopped
	 * @param evidence the information on which the decision is based
	 */
	void runStopped(TaskProgress task, int run, String host, String reason, StopEvidence evidence);

	/**
	 * Called when a job is deferred, that is, ranked behind all jobs of use, or resumed.
	 * @param job the job
	 * @param deferred whether it is deferred
	 * @param evidence the information on which the decision is based
	 */
	void selectionChanged(JobProgress job, boolean deferred, SelectionEvidence evidence);

	/**
	 * Called after an attempt to free workers of services for fillers.
	 * @param attempt what was attempted, and the result
	 */
	void consolidationAttempted(ConsolidationAttempt attempt);

	/**
	 * Called when the leader's assessment of a host changes.
	 * @param host the host
	 * @param assessment the new assessment
	 * @param detail the inputs on which it is based
	 */
	void hostChanged(String host, String assessment, String detail);

}
