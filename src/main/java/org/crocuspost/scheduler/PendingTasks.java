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
 * declaring a job writes nothing; its tasks are counted up from a cursor per job.
 */
final class PendingTasks {

	private final TaskTable table;

	private final FailureTracker failures;

	private final Map<String, Integer> cursors = new HashMap<>();

	PendingTasks(TaskTable table, FailureTracker failures) {
		this.table = table;
		this.failures = failures;
	}

	/**
	 * Lists waiting tasks, those that have run before first. Leaves out tasks that failed
	 * a short time ago.
	 * @param job the job
	 * @param configurationVersion the version of the configuration that declares the job
	 * @param limit the most tasks to list
	 * @return the tasks
	 */
	List<CachedTask> of(JobSpecification job, long configurationVersion, int limit) {
		List<CachedTask> found = new ArrayList<>();
		for (CachedTask task : this.table.pendingOf(job.name())) {
			if (found.size() == limit) {
				return found;
			}
			if (!this.failures.delayed(task.record().taskId())) {
				found.add(task);
			}
		}
		for (int index = cursor(job); index < job.count() && found.size() < limit; index++) {
			String taskId = TaskIds.of(job.name(), index);
			if (this.table.find(taskId).isEmpty()) {
				found.add(new CachedTask(TaskRecord.unclaimed(taskId, job.name(), configurationVersion), Row.ABSENT));
			}
		}
		return found;
	}

	private int cursor(JobSpecification job) {
		if (this.table.rowsOf(job.name()) == 0) {
			this.cursors.remove(job.name());
		}
		int cursor = this.cursors.getOrDefault(job.name(), 0);
		while (cursor < job.count() && this.table.find(TaskIds.of(job.name(), cursor)).isDefined()) {
			cursor++;
		}
		this.cursors.put(job.name(), cursor);
		return cursor;
	}

	void retain(Set<String> jobs) {
		this.cursors.keySet().retainAll(jobs);
	}

}
