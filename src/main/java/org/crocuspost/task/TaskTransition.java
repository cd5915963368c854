package org.crocuspost.task;

import java.util.EnumSet;
import java.util.Set;

/**
 * Transitions between the states of a task. A transition that ends an attempt without
 * confirmation by the worker requires that the lease of the attempt has lapsed, which
 * proves that the attempt has stopped.
 */
public enum TaskTransition {

	/**
	 * A scheduler assigns a pending task to a worker, which begins a new attempt.
	 */
	CLAIM(TaskStatus.CLAIMED, TaskStatus.PENDING),

	/**
	 * The worker confirms that the attempt runs.
	 */
	CONFIRM_START(TaskStatus.RUNNING, TaskStatus.CLAIMED),

	/**
	 * The worker confirms that the attempt has not started and will never start.
	 */
	CONFIRM_NOT_STARTED(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.EVICTING),

	/**
	 * A scheduler decides to evict the attempt from its worker.
	 */
	EVICT(TaskStatus.EVICTING, TaskStatus.CLAIMED, TaskStatus.RUNNING),

	/**
	 * The worker confirms that the evicted attempt does not run and reports its
	 * checkpoint.
	 */
	CONFIRM_EVICTED(TaskStatus.PENDING, TaskStatus.EVICTING),

	/**
	 * The lease of the attempt has lapsed according to the clock of the observer, with a
	 * margin for clock drift.
	 */
	LAPSE(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * The worker confirms that the attempt has completed successfully.
	 */
	SUCCEED(TaskStatus.SUCCEEDED, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING, TaskStatus.CANCELLING),

	/**
	 * The worker confirms that the attempt failed, and the task will be retried.
	 */
	RETRY(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * The worker confirms that the attempt failed, and the task is not retried.
	 */
	GIVE_UP(TaskStatus.FAILED, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * A release note withdraws the job of a pending task.
	 */
	CANCEL_PENDING(TaskStatus.CANCELLED, TaskStatus.PENDING),

	/**
	 * A release note withdraws the job of a task that may run.
	 */
	CANCEL(TaskStatus.CANCELLING, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * The worker confirms that the cancelled attempt does not run, or its lease has
	 * lapsed.
	 */
	CONFIRM_CANCELLED(TaskStatus.CANCELLED, TaskStatus.CANCELLING);

	private final TaskStatus target;

	private final Set<TaskStatus> sources;

	TaskTransition(TaskStatus target, TaskStatus first, TaskStatus... rest) {
		this.target = target;
		this.sources = EnumSet.of(first, rest);
	}

	/**
	 * Returns the state after the transition.
	 * @return the state
	 */
	public TaskStatus target() {
		return this.target;
	}

	/**
	 * Returns whether the transition is allowed in a state.
	 * @param status the state before the transition
	 * @return true if the transition is allowed
	 */
	public boolean allowedFrom(TaskStatus status) {
		return this.sources.contains(status);
	}

}
