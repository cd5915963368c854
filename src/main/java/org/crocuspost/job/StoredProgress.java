package org.crocuspost.job;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Rows in which the progress of a job is stored.
 *
 * @param job the row of the job; empty if only rows of its tasks were recorded, as
 * leaders of the previous version could do
 * @param tasks the rows of its tasks that were ever assigned
 */
public record StoredProgress(Optional<String> job, Map<TaskKey, String> tasks) {

	public StoredProgress {
		Objects.requireNonNull(job, "job");
		tasks = Map.copyOf(tasks);
	}

	/**
	 * Returns the progress of a job of which any row is stored.
	 * @param job the row of the job, if there is one
	 * @param tasks the rows of its tasks
	 * @return the progress, or empty if there is no row
	 */
	public static Optional<StoredProgress> of(Optional<String> job, Map<TaskKey, String> tasks) {
		return (job.isEmpty() && tasks.isEmpty()) ? Optional.empty() : Optional.of(new StoredProgress(job, tasks));
	}

}
