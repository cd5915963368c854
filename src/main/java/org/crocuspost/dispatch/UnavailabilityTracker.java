package org.crocuspost.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;

/**
 * Remembers since when tasks of long-running steps have not been known to run. The
 * progress of a task does not keep the host of a run that has ended. Mutable.
 */
final class UnavailabilityTracker {

	private final Map<TaskKey, Interruption> interruptions = new HashMap<>();

	static boolean tracks(TaskProgress task) {
		return task.step().lasting() && !task.step().filler();
	}

	/**
	 * Records the last run of a task that a former leader has recorded. It is not known
	 * to run until a report lists it.
	 * @param task the task as it was read from the store
	 * @param nowNanos the current time
	 */
	void inherited(TaskProgress task, long nowNanos) {
		if (tracks(task) && task.everAssigned()) {
			this.interruptions.putIfAbsent(task.key(), new Interruption(nowNanos, task.run(), task.host(), true));
		}
	}

	/**
	 * Records the end or the loss of the last run of a task. The time continues to count
	 * from the first run that was interrupted if a later one was not listed.
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 * @param nowNanos the current time
	 */
	void interrupted(TaskProgress task, int run, String host, long nowNanos) {
		if (tracks(task)) {
			Interruption first = this.interruptions.get(task.key());
			this.interruptions.put(task.key(),
					(first != null) ? new Interruption(first.sinceNanos(), run, host, first.inherited())
							: new Interruption(nowNanos, run, host, false));
		}
	}

	/**
	 * Ends the interruption of a task whose run is listed as running.
	 * @param task the task
	 * @return the interruption; empty if there was none
	 */
	Optional<Interruption> listed(TaskProgress task) {
		return Optional.ofNullable(this.interruptions.remove(task.key()));
	}

	Optional<Interruption> find(TaskKey task) {
		return Optional.ofNullable(this.interruptions.get(task));
	}

	void jobEnded(String job) {
		this.interruptions.keySet().removeIf((task) -> task.job().equals(job));
	}

	/**
	 * Time in which a task is not known to run.
	 *
	 * @param sinceNanos the end or the loss of the last run that was listed, or the time
	 * at which this leader read the task, in nanoseconds of the process clock
	 * @param run the number of the last run that has ended, was lost or is not confirmed
	 * @param host the host of that run
	 * @param inherited whether this leader has not seen a run of the task
	 */
	record Interruption(long sinceNanos, int run, String host, boolean inherited) {
	}

}
