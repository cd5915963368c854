package org.crocuspost.task;

import java.util.Objects;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;

/**
 * Row of a task in the table. A task whose row does not exist is pending and has never
 * been claimed.
 *
 * @param taskId the identity, see {@link TaskIds}
 * @param job the job to which the task belongs
 * @param status the state
 * @param domain the failure domain whose scheduler made the last transition; empty before
 * the first
 * @param attempt the number of the newest attempt; rises with every claim
 * @param epoch the fencing token under which the newest attempt was claimed
 * @param worker the worker of the newest attempt; empty if no attempt may run
 * @param reserved the resources set aside for the newest attempt
 * @param checkpoint the checkpoint from which the next attempt resumes; empty if none
 * @param failures how many attempts failed with an error of the task
 * @param reason why the last transition happened; empty if there is nothing to tell
 */
public record TaskRecord(String taskId, String job, TaskStatus status, String domain, long attempt, long epoch,
		String worker, Resources reserved, String checkpoint, int failures, String reason) {

	/**
	 * Attempts are numbered from the configuration version at which the row is written
	 * first times this. A task that is declared again under the same name thus never
	 * reuses the number of an attempt.
	 */
	private static final long ATTEMPTS_PER_VERSION = 1_000_000;

	public TaskRecord {
		Objects.requireNonNull(taskId, "taskId");
		Objects.requireNonNull(status, "status");
	}

	/**
	 * Returns a task that has never been claimed.
	 * @param taskId the identity of the task
	 * @param job the name of the job
	 * @param configurationVersion the version of the configuration that declares the job
	 * @return the task
	 */
	public static TaskRecord unclaimed(String taskId, String job, long configurationVersion) {
		return new TaskRecord(taskId, job, TaskStatus.PENDING, "", configurationVersion * ATTEMPTS_PER_VERSION, 0, "",
				Resources.NONE, "", 0, "");
	}

	/**
	 * Returns the identity of the newest attempt.
	 * @return the identity
	 */
	public AttemptKey attemptKey() {
		return new AttemptKey(this.taskId, this.attempt);
	}

	/**
	 * Begins a new attempt.
	 * @param claimDomain the failure domain of the worker
	 * @param claimEpoch the fencing token of the scheduler
	 * @param claimWorker the worker
	 * @param resources the resources that are set aside
	 * @return the claimed task
	 */
	public TaskRecord claim(String claimDomain, long claimEpoch, String claimWorker, Resources resources) {
		TaskStatus next = target(TaskTransition.CLAIM);
		return new TaskRecord(this.taskId, this.job, next, claimDomain, this.attempt + 1, claimEpoch, claimWorker,
				resources, this.checkpoint, this.failures, "");
	}

	/**
	 * Makes a transition that neither begins an attempt nor reports a failure of the
	 * task.
	 * @param transition the transition
	 * @param newCheckpoint the newest checkpoint; empty keeps the known one
	 * @param why the reason
	 * @return the task after the transition
	 */
	public TaskRecord apply(TaskTransition transition, String newCheckpoint, String why) {
		return moved(transition, newCheckpoint, this.failures, why);
	}

	/**
	 * Ends an attempt that failed with an error of the task.
	 * @param transition {@link TaskTransition#RETRY} or {@link TaskTransition#GIVE_UP}
	 * @param newCheckpoint the newest checkpoint; empty keeps the known one
	 * @param why the error
	 * @return the task after the transition
	 */
	public TaskRecord fail(TaskTransition transition, String newCheckpoint, String why) {
		return moved(transition, newCheckpoint, this.failures + 1, why);
	}

	private TaskRecord moved(TaskTransition transition, String newCheckpoint, int newFailures, String why) {
		TaskStatus next = target(transition);
		String kept = newCheckpoint.isEmpty() ? this.checkpoint : newCheckpoint;
		boolean active = next.mayRun();
		return new TaskRecord(this.taskId, this.job, next, this.domain, this.attempt, this.epoch,
				active ? this.worker : "", active ? this.reserved : Resources.NONE, kept, newFailures, why);
	}

	private TaskStatus target(TaskTransition transition) {
		if (!transition.allowedFrom(this.status)) {
			throw new IllegalStateException(transition + " is not allowed from " + this.status);
		}
		return transition.target();
	}

}
