package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskStatus;

/**
 * Status of a job as seen by one scheduler.
 *
 * @param job the name of the job
 * @param team the team
 * @param declaredTasks the declared number of tasks
 * @param tasksByStatus the number of tasks by status; a task without a row counts as
 * pending
 * @param size the resources to reserve for the next task, learned from usage
 * @param medianRunTime the median run time; empty if no run time was recorded
 * @param waiting the reason why tasks wait; empty if none waits or the reason is not
 * known
 */
public record JobStatus(String job, String team, int declaredTasks, Map<TaskStatus, Integer> tasksByStatus,
		Resources size, Optional<Duration> medianRunTime, Optional<JobWait> waiting) {

	public JobStatus {
		tasksByStatus = Map.copyOf(tasksByStatus);
	}

}
