package org.crocuspost.job;

import java.util.Map;
import java.util.Objects;

/**
 * Rows in which the progress of a job is stored.
 *
 * @param job the row of the job
 * @param tasks the rows of its tasks that were ever assigned
 */
public record StoredProgress(String job, Map<TaskKey, String> tasks) {

	public StoredProgress {
		Objects.requireNonNull(job, "job");
		tasks = Map.copyOf(tasks);
	}

}
