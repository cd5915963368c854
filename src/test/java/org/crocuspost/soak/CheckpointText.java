package org.crocuspost.soak;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

import org.crocuspost.job.TaskKey;

/**
 * Checkpoints of simulated tasks. Their form differs by task, since workers may use any
 * text: with blanks, with numbers at the end, or like a mark of no checkpoint.
 */
final class CheckpointText {

	private static final String PROGRESS = "%d";

	private static final List<String> FORMS = List.of("%d", "done %d", "at %d 4", "- %d", "%d ");

	private CheckpointText() {
	}

	private static String form(TaskKey task) {
		return FORMS.get(Math.floorMod(task.hashCode(), FORMS.size()));
	}

	static String write(TaskKey task, long completedMillis) {
		return String.format(Locale.ROOT, form(task), completedMillis);
	}

	/**
	 * Reads a checkpoint of a task.
	 * @param task the task
	 * @param text the text
	 * @return the completed part of the task in milliseconds, or empty if the task never
	 * wrote such a text
	 */
	static OptionalLong read(TaskKey task, String text) {
		String form = form(task);
		int start = form.indexOf(PROGRESS);
		int end = text.length() - (form.length() - start - PROGRESS.length());
		if (end <= start || !text.substring(start, end).chars().allMatch(Character::isDigit)) {
			return OptionalLong.empty();
		}
		long completedMillis = Long.parseLong(text.substring(start, end));
		return write(task, completedMillis).equals(text) ? OptionalLong.of(completedMillis) : OptionalLong.empty();
	}

}
