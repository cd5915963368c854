package org.crocuspost.job;

import java.util.Objects;

import org.crocuspost.rows.StoredForm;

/**
 * Summary of a stored job, which holds everything that callers ask for.
 *
 * @param queue the name of the queue
 * @param state the state
 * @param endedMillis the time at which the job ended, Unix time in milliseconds; 0 until
 * then
 */
public record JobSummary(String queue, JobState state, long endedMillis) {

	private static final int FIELD_COUNT = 3;

	private static final StoredForm<JobSummary> FORM = new StoredForm<>(JobSummary.class, JobSummary::writeLine,
			JobSummary::readLine, JobSummary::readLine);

	public JobSummary {
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * Encodes the summary.
	 * @return the value of the row of the job
	 */
	public String write() {
		return FORM.write(this);
	}

	private String writeLine() {
		return this.state + " " + this.endedMillis + " " + this.queue;
	}

	/**
	 * Decodes the summary of a stored job.
	 * @param text the value of the row of the job
	 * @return the summary
	 * @throws IllegalArgumentException if the value is malformed
	 */
	public static JobSummary read(String text) {
		return FORM.read(text);
	}

	/**
	 * Reads the first line of a stored job. The tasks follow it in rows of early
	 * versions.
	 */
	private static JobSummary readLine(String text) {
		int end = text.indexOf('\n');
		String[] parts = ((end < 0) ? text : text.substring(0, end)).split(" ", FIELD_COUNT);
		if (parts.length != FIELD_COUNT) {
			throw new IllegalArgumentException("malformed first line of a stored job: " + parts[0]);
		}
		return new JobSummary(parts[2], JobState.valueOf(parts[0]), Long.parseLong(parts[1]));
	}

}
