package org.crocuspost.job;

import java.util.Objects;

/**
 * First line of a stored job: all that callers ask for.
 *
 * @param queue the queue
 * @param state the state
 * @param endedMillis Unix time of the end in milliseconds; 0 while the job goes on
 */
public record JobSummary(String queue, JobState state, long endedMillis) {

	private static final int FIELDS = 3;

	public JobSummary {
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * Writes the line.
	 * @return the line
	 */
	public String write() {
		return this.state + " " + this.endedMillis + " " + this.queue;
	}

	/**
	 * Reads the first line of a stored job.
	 * @param text the stored job
	 * @return the summary
	 * @throws IllegalArgumentException if the line is malformed
	 */
	public static JobSummary read(String text) {
		int end = text.indexOf('\n');
		String[] parts = ((end < 0) ? text : text.substring(0, end)).split(" ", FIELDS);
		if (parts.length != FIELDS) {
			throw new IllegalArgumentException("malformed job: " + parts[0]);
		}
		return new JobSummary(parts[2], JobState.valueOf(parts[0]), Long.parseLong(parts[1]));
	}

}
