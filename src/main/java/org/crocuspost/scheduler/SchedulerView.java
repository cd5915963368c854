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
	 * @return the rows as last read by this process
	 */
	List<ShardRecord> shards();

	/**
	 * Explains the state of a task.
	 * @param taskId the identity of the task
	 * @return the explanation, or empty if the task has no row and its job is not
	 * declared
	 */
	Optional<Explanation> explain(String taskId);

}
