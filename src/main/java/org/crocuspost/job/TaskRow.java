package org.crocuspost.job;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.crocuspost.rows.StoredForm;

/**
 * Stored progress of a task. The key of the row names the task.
 *
 * @param status the status
 * @param run the number of the last run; 0 if there was none
 * @param failures the number of failed runs
 * @param host the host of the current run; empty if there is none
 * @param worker the worker of the current run; empty if there is none
 * @param workerStartMillis the start of that worker, Unix time in milliseconds
 * @param checkpoint opaque text from a worker, of any content; empty if there is none
 * @param crashes the number of crashes that the task may have caused
 * @param crashedRuns the number of crashes in which it was lost
 */
record TaskRow(TaskStatus status, int run, int failures, String host, String worker, long workerStartMillis,
		String checkpoint, int crashes, int crashedRuns) {

	private static final String SEPARATOR = " ";

	private static final String EMPTY_FIELD = "-";

	private static final int FIELD_COUNT = 7;

	private static final int FIELD_COUNT_WITH_CRASHES = 9;

	/**
	 * Maximum number that a stored task may count. It leaves room for the runs to come.
	 */
	private static final int MAXIMUM_STORED_COUNT = 1_000_000_000;

	/**
	 * First digit of the status in a line with crashes. The previous version writes the
	 * status with one digit and reads it with any number of digits. Its lines with
	 * crashes look like lines without, whose checkpoint ends with two numbers.
	 */
	private static final String UNAMBIGUOUS_CRASHES = "0";

	private static final Pattern CHECKPOINT_OR_CRASHES = Pattern.compile(".* (\\d{1,10}) (\\d{1,10})", Pattern.DOTALL);

	private static final StoredForm<TaskRow> FORM = new StoredForm<>(TaskRow.class, TaskRow::writeLine,
			TaskRow::readLine, TaskRow::readExactLine);

	TaskRow {
		Objects.requireNonNull(status, "status");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(worker, "worker");
		Objects.requireNonNull(checkpoint, "checkpoint");
	}

	/**
	 * Encodes the progress.
	 * @return the value of the row
	 */
	String write() {
		return FORM.write(this);
	}

	/**
	 * Decodes the progress.
	 * @param text the value of the row
	 * @return the progress
	 * @throws IllegalArgumentException if the value is malformed
	 */
	static TaskRow read(String text) {
		TaskRow row = FORM.read(text);
		for (int count : new int[] { row.run, row.failures, row.crashes, row.crashedRuns }) {
			if (count < 0 || count > MAXIMUM_STORED_COUNT) {
				throw new IllegalArgumentException("a stored task counts from 0 to " + MAXIMUM_STORED_COUNT);
			}
		}
		return row;
	}

	private String writeLine() {
		boolean withCrashes = this.crashes > 0 || this.crashedRuns > 0;
		String line = String.join(SEPARATOR, String.valueOf(this.status.ordinal()), String.valueOf(this.run),
				String.valueOf(this.failures), encodeField(this.host), encodeField(this.worker),
				String.valueOf(this.workerStartMillis), encodeField(this.checkpoint));
		return withCrashes ? UNAMBIGUOUS_CRASHES + line + SEPARATOR + this.crashes + SEPARATOR + this.crashedRuns
				: line;
	}

	/**
	 * Reads a line in which no text contains a separator.
	 */
	private static TaskRow readExactLine(String text) {
		String[] parts = text.split(SEPARATOR);
		boolean withCrashes = parts.length == FIELD_COUNT_WITH_CRASHES;
		if (parts.length != FIELD_COUNT && !withCrashes) {
			throw new IllegalArgumentException("malformed progress of a task: " + text);
		}
		return of(parts, decodeField(parts[FIELD_COUNT - 1]), withCrashes ? Integer.parseInt(parts[FIELD_COUNT]) : 0,
				withCrashes ? Integer.parseInt(parts[FIELD_COUNT + 1]) : 0);
	}

	/**
	 * Reads a line in which the checkpoint may contain separators. Where it can't be told
	 * from a pair of crash counts, it is omitted: the next run repeats work, but never
	 * resumes from a checkpoint that is not the task's.
	 */
	private static TaskRow readLine(String text) {
		String[] parts = text.split(SEPARATOR, FIELD_COUNT);
		if (parts.length != FIELD_COUNT || parts[FIELD_COUNT - 1].isEmpty()) {
			throw new IllegalArgumentException("malformed progress of a task: " + text);
		}
		boolean unambiguous = parts[0].length() > 1 && parts[0].startsWith(UNAMBIGUOUS_CRASHES);
		if (unambiguous) {
			return readExactLine(text);
		}
		String checkpoint = parts[FIELD_COUNT - 1];
		Matcher matcher = CHECKPOINT_OR_CRASHES.matcher(checkpoint);
		if (!matcher.matches()) {
			return of(parts, decodeField(checkpoint), 0, 0);
		}
		long crashes = Long.parseLong(matcher.group(1));
		long crashedRuns = Long.parseLong(matcher.group(2));
		// A line never ends with the counts of a task without crashes.
		boolean counts = crashes + crashedRuns > 0 && crashes <= MAXIMUM_STORED_COUNT
				&& crashedRuns <= MAXIMUM_STORED_COUNT;
		return counts ? of(parts, "", (int) crashes, (int) crashedRuns) : of(parts, checkpoint, 0, 0);
	}

	private static TaskRow of(String[] parts, String checkpoint, int crashes, int crashedRuns) {
		int field = 0;
		return new TaskRow(TaskStatus.ofOrdinal(Integer.parseInt(parts[field++])), Integer.parseInt(parts[field++]),
				Integer.parseInt(parts[field++]), decodeField(parts[field++]), decodeField(parts[field++]),
				Long.parseLong(parts[field]), checkpoint, crashes, crashedRuns);
	}

	private static String encodeField(String text) {
		return text.isEmpty() ? EMPTY_FIELD : text;
	}

	private static String decodeField(String text) {
		return text.equals(EMPTY_FIELD) ? "" : text;
	}

}
