package org.crocuspost.task;

import java.util.Objects;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;

/**
 * Holds the contents of the table row of a task. A task without a row is pending and has
 * never been claimed.
 *
 * @param taskId the identity, see {@link TaskIds}
 * @param job the job to which the task belongs
 * @param status the state
 * @param domain the failure domain whose scheduler made the last transition; empty before
 * the first
 * @param attempt the number of the newest attempt; increases with every claim
 * @param epoch the fencing token under which the newest attempt was claimed
 * @param worker the worker of the newest attempt; empty if no attempt may run
 * @param reserved the resources reserved for the newest attempt
 * @param checkpoint the checkpoint from which the next attempt resumes; empty if none
 * @param failures the number of attempts that failed with an error of the task
 * @param reason the reason of the last transition; empty if none is given
 */
public record TaskRecord(String taskId, String job, TaskStatus status, String domain, long attempt, long epoch,
		String worker, Resources reserved, String checkpoint, int failures, String reason) {

	/**
	 * Size of the range of attempt numbers for each configuration version. Attempts are
	 * numbered from this value times the configuration version at which the row is first
	 * written. A task that is declared again under the same name thus never reuses the
	 * number of an attempt.
	 */
	private static final long ATTEMPTS_PER_VERSION = 1_000_000;

	public TaskRecord {
		Objects.requireNonNull(taskId, "taskId");
		Objects.requireNonNull(job, "job");
		Objects.requireNonNull(status, "status");
		Objects.requireNonNull(domain, "domain");
	}

	/**
	 * Creates the record of a task that has never been claimed.
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
	 * Returns the task after a claim, which begins a new attempt.
	 * @param claimDomain the failure domain of the worker
	 * @param claimEpoch the fencing token of the scheduler
	 * @param claimWorker the worker
	 * @param resources the resources to reserve
	 * @return the claimed task
	 * @throws IllegalStateException if the state of the task does not allow a claim
	 */
	public TaskRecord claim(String claimDomain, long claimEpoch, String claimWorker, Resources resources) {
		TaskStatus next = requireTarget(TaskTransition.CLAIM);
		return new TaskRecord(this.taskId, this.job, next, claimDomain, this.attempt + 1, claimEpoch, claimWorker,
				resources, this.checkpoint, this.failures, "");
	}

	/**
	 * Returns the task after a transition that neither begins an attempt nor records a
	 * failure of the task.
	 * @param transition the transition
	 * @param newCheckpoint the newest checkpoint; empty to keep the current one
	 * @param newReason the reason of the transition
	 * @return the task after the transition
	 * @throws IllegalStateException if the state of the task does not allow the
	 * transition
	 */
	public TaskRecord apply(TaskTransition transition, String newCheckpoint, String newReason) {
		return afterTransition(transition, newCheckpoint, this.failures, newReason);
	}

	/**
	 * Returns the task after an attempt that failed with an error of the task.
	 * @param transition {@link TaskTransition#RETRY} or {@link TaskTransition#GIVE_UP}
	 * @param newCheckpoint the newest checkpoint; empty to keep the current one
	 * @param error the error message
	 * @return the task after the transition
	 * @throws IllegalStateException if the state of the task does not allow the
	 * transition
	 */
	public TaskRecord fail(TaskTransition transition, String newCheckpoint, String error) {
		return afterTransition(transition, newCheckpoint, this.failures + 1, error);
	}

	private TaskRecord afterTransition(TaskTransition transition, String newCheckpoint, int newFailures,
			String newReason) {
		TaskStatus next = requireTarget(transition);
		String latestCheckpoint = newCheckpoint.isEmpty() ? this.checkpoint : newCheckpoint;
		boolean active = next.mayRun();
		return new TaskRecord(this.taskId, this.job, next, this.domain, this.attempt, this.epoch,
				active ? this.worker : "", active ? this.reserved : Resources.NONE, latestCheckpoint, newFailures,
				newReason);
	}

	private TaskStatus requireTarget(TaskTransition transition) {
		if (!transition.allowedFrom(this.status)) {
			throw new IllegalStateException(transition + " is not allowed in state " + this.status);
		}
		return transition.target();
	}

}
