package org.crocuspost.task;

import java.util.EnumSet;
import java.util.Set;

/**
 * Every transition between the states of a task. A transition that ends an attempt
 * without the worker's confirmation needs a lapsed lease as proof of stop.
 */
public enum TaskTransition {

	/**
	 * A scheduler assigns a waiting task to a worker and begins a new attempt.
	 */
	CLAIM(TaskStatus.CLAIMED, TaskStatus.PENDING),

	/**
	 * The worker confirms that the attempt runs.
	 */
	CONFIRM_START(TaskStatus.RUNNING, TaskStatus.CLAIMED),

	/**
	 * The worker confirms that the attempt never started and never will.
	 */
	CONFIRM_NOT_STARTED(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.EVICTING),

	/**
	 * A scheduler decides that the attempt must leave its worker.
	 */
	EVICT(TaskStatus.EVICTING, TaskStatus.CLAIMED, TaskStatus.RUNNING),

	/**
	 * The worker confirms that the evicted attempt does not run, with its checkpoint.
	 */
	CONFIRM_EVICTED(TaskStatus.PENDING, TaskStatus.EVICTING),

	/**
	 * The lease of the attempt has lapsed on the observer's own clock, with a margin for
	 * drift.
	 */
	LAPSE(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * The worker confirms that the attempt has done its work.
	 */
	SUCCEED(TaskStatus.SUCCEEDED, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING, TaskStatus.CANCELLING),

	/**
	 * The worker confirms that the attempt failed, and the task is to be tried again.
	 */
	RETRY(TaskStatus.PENDING, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * The worker confirms that the attempt failed, and the task is given up.
	 */
	GIVE_UP(TaskStatus.FAILED, TaskStatus.CLAIMED, TaskStatus.RUNNING, TaskStatus.EVICTING),

	/**
	 * A release note withdraws the job of a waiting task.
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
	 * Says whether the transition may leave a state.
	 * @param status the state before the transition
	 * @return true if it may
	 */
	public boolean allowedFrom(TaskStatus status) {
		return this.sources.contains(status);
	}

}
