package org.crocuspost.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.StoredProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.StoredRow;

/**
 * Rows of jobs and tasks that former leaders recorded. They are held until the
 * submissions of their jobs are read. A job of which a row can't be read is remembered
 * for the whole term: without its rows it looks like a new job. Not thread-safe.
 */
final class RestoredRows {

	private final Map<String, String> jobs = new HashMap<>();

	private final Map<String, Map<TaskKey, String>> tasks = new HashMap<>();

	private final Set<String> unreadable = new HashSet<>();

	void addJob(StoredRow row) {
		if (row.key().startsWith(Tables.PROGRESS_PREFIX)) {
			this.jobs.put(row.key().substring(Tables.PROGRESS_PREFIX.length()), row.value());
		}
	}

	void addTask(StoredRow row) {
		TaskKey.parse(row.key())
			.ifPresentOrElse(
					(task) -> this.tasks.computeIfAbsent(task.job(), (job) -> new HashMap<>()).put(task, row.value()),
					() -> EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", row.key()),
							Field.of("version", row.version()), Field.of("reason", "the key names no task")));
	}

	/**
	 * Returns the row of a job.
	 * @param id the identity of the job
	 * @return the value of the row, or empty if there is none
	 */
	Optional<String> job(String id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	/**
	 * Returns the progress of a job.
	 * @param id the identity of the job
	 * @return the rows of the job and its tasks, or empty if there are none
	 */
	Optional<StoredProgress> progress(String id) {
		return StoredProgress.of(job(id), this.tasks.getOrDefault(id, Map.of()));
	}

	void markUnreadable(String id) {
		this.unreadable.add(id);
	}

	/**
	 * Returns whether a row of a job, or of one of its tasks, can't be read.
	 * @param id the identity of the job
	 * @return true if the job must not be added in this term
	 */
	boolean isUnreadable(String id) {
		return this.unreadable.contains(id);
	}

	int jobCount() {
		return this.jobs.size();
	}

	/**
	 * Returns the number of jobs of which only rows of tasks are stored.
	 * @return the number of jobs
	 */
	long countJobsWithoutRow() {
		return this.tasks.keySet().stream().filter((id) -> !this.jobs.containsKey(id)).count();
	}

	/**
	 * Drops the rows, since all jobs that they belong to are added.
	 */
	void release() {
		this.jobs.clear();
		this.tasks.clear();
	}

}
