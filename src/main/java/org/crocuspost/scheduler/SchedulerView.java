package org.crocuspost.scheduler;

import java.util.List;
import java.util.Optional;

import org.crocuspost.shard.ShardRecord;
import org.crocuspost.task.TaskRecord;

/**
 * Read-only view of a scheduler for operators. Safe for use by several threads.
 */
public interface SchedulerView {

	/**
	 * Lists the declared jobs.
	 * @return the status of each
	 */
	List<JobStatus> jobs();

	/**
	 * Lists the tasks of a job that have been claimed at least once.
	 * @param job the name of the job
	 * @return their rows
	 */
	List<TaskRecord> tasks(String job);

	/**
	 * Lists the workers that report to this scheduler.
	 * @return the status of each
	 */
	List<WorkerStatus> workers();

	/**
	 * Lists the scheduling leases.
	 * @return the rows as this process saw them last
	 */
	List<ShardRecord> shards();

	/**
	 * Says why a task is where it is.
	 * @param taskId the identity of the task
	 * @return the explanation, or empty if no job declares the task
	 */
	Optional<Explanation> explain(String taskId);

}
