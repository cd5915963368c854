package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.table.Row;
import org.crocuspost.task.TaskIds;
import org.crocuspost.task.TaskRecord;

/**
 * Finds the waiting tasks of a job. A task that was never claimed has no row, so
 * declaring a job writes nothing; such tasks are enumerated from a cursor per job, which
 * skips the leading tasks that have rows.
 */
final class PendingTasks {

	private final TaskTable tasks;

	private final FailureTracker failures;

	private final Map<String, Integer> cursors = new HashMap<>();

	PendingTasks(TaskTable tasks, FailureTracker failures) {
		this.tasks = tasks;
		this.failures = failures;
	}

	/**
	 * Lists the waiting tasks of a job, starting with those that were claimed before.
	 * Tasks whose retry delay has not passed are left out.
	 * @param job the job
	 * @param configurationVersion the version of the configuration that declares the job
	 * @param limit the maximum number of tasks to list
	 * @return the tasks
	 */
	List<CachedTask> list(JobSpecification job, long configurationVersion, int limit) {
		List<CachedTask> listed = new ArrayList<>();
		for (CachedTask task : this.tasks.pendingOf(job.name())) {
			if (listed.size() == limit) {
				return listed;
			}
			if (!this.failures.isDelayed(task.record().taskId())) {
				listed.add(task);
			}
		}
		for (int index = advanceCursor(job); index < job.count() && listed.size() < limit; index++) {
			String taskId = TaskIds.of(job.name(), index);
			if (this.tasks.find(taskId).isEmpty()) {
				listed.add(new CachedTask(TaskRecord.unclaimed(taskId, job.name(), configurationVersion), Row.ABSENT));
			}
		}
		return listed;
	}

	private int advanceCursor(JobSpecification job) {
		if (this.tasks.rowCount(job.name()) == 0) {
			this.cursors.remove(job.name());
		}
		int cursor = this.cursors.getOrDefault(job.name(), 0);
		while (cursor < job.count() && this.tasks.find(TaskIds.of(job.name(), cursor)).isDefined()) {
			cursor++;
		}
		this.cursors.put(job.name(), cursor);
		return cursor;
	}

	void retainJobs(Set<String> jobs) {
		this.cursors.keySet().retainAll(jobs);
	}

}
