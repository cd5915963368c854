package org.crocuspost.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.TaskKey;

/**
 * Counts the consecutive starts of each task that did not lead to a run: they were
 * refused, lost, or never ordered. Counts from the takeover of this leader. Mutable.
 */
final class FailedStarts {

	private final Map<TaskKey, FailedStart> failed = new HashMap<>();

	/**
	 * Counts a start that did not lead to a run.
	 * @param task the task
	 * @param host the host
	 * @param reason why the run did not begin
	 * @param nowNanos the current time
	 */
	void add(TaskKey task, String host, String reason, long nowNanos) {
		FailedStart former = this.failed.get(task);
		this.failed.put(task, new FailedStart((former != null) ? former.number() + 1 : 1, host, reason, nowNanos));
	}

	/**
	 * Forgets the failed starts of a task of which a run has begun.
	 * @param task the task
	 */
	void begun(TaskKey task) {
		this.failed.remove(task);
	}

	void jobEnded(String job) {
		this.failed.keySet().removeIf((task) -> task.job().equals(job));
	}

	Optional<FailedStart> find(TaskKey task) {
		return Optional.ofNullable(this.failed.get(task));
	}

	/**
	 * Failed starts of a task.
	 *
	 * @param number the number of consecutive failed starts
	 * @param host the host of the last one
	 * @param reason why its run did not begin
	 * @param sinceNanos the time of the last one, in nanoseconds of the process clock
	 */
	record FailedStart(int number, String host, String reason, long sinceNanos) {
	}

}
