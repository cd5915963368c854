package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskStatus;

/**
 * Status of a job as one scheduler knows it.
 *
 * @param job the name of the job
 * @param team the team
 * @param declaredTasks the number of tasks
 * @param tasksByStatus the number of tasks by state; a task without a row is pending
 * @param size the resources that are set aside for the next task, learned from use
 * @param medianRunTime the median run time, if learned
 * @param waiting why tasks wait, if any do
 */
public record JobStatus(String job, String team, int declaredTasks, Map<TaskStatus, Integer> tasksByStatus, Resources size,
		Optional<Duration> medianRunTime, Optional<JobWait> waiting) {

	public JobStatus {
		tasksByStatus = Map.copyOf(tasksByStatus);
	}

}
