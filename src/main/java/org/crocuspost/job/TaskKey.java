package org.crocuspost.job;

import java.util.Optional;

/**
 * Identity of a task.
 *
 * @param job the identity of the job
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task within the step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {

	private static final int PART_COUNT = 4;

	/**
	 * Parses the form that {@link #toString()} returns.
	 * @param text the text
	 * @return the key, or empty if the text is malformed
	 */
	public static Optional<TaskKey> parse(String text) {
		String[] parts = text.split("\\.", -1);
		if (parts.length != PART_COUNT) {
			return Optional.empty();
		}
		try {
			return Optional.of(new TaskKey(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
					Integer.parseInt(parts[3])));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	@Override
	public String toString() {
		return this.job + '.' + this.occurrence + '.' + this.step + '.' + this.index;
	}

}
