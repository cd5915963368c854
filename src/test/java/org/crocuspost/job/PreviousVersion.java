package org.crocuspost.job;

/**
 * Writes and reads rows of tasks and jobs as the version of the programs did that stored
 * all of them as lines. The copy stays as it is, since rows of that version are in the
 * stores of users.
 */
final class PreviousVersion {

	private static final int FIELD_COUNT = 7;

	private static final int FIELD_COUNT_WITH_CRASHES = 9;

	private PreviousVersion() {
	}

	static String write(TaskRow row) {
		return row.status().ordinal() + " " + row.run() + " " + row.failures() + " " + encodeField(row.host()) + " "
				+ encodeField(row.worker()) + " " + row.workerStartMillis() + " " + encodeField(row.checkpoint())
				+ ((row.crashes() > 0 || row.crashedRuns() > 0) ? " " + row.crashes() + " " + row.crashedRuns() : "");
	}

	static TaskRow read(String text) {
		String[] parts = text.split(" ");
		if (parts.length != FIELD_COUNT && parts.length != FIELD_COUNT_WITH_CRASHES) {
			throw new IllegalArgumentException("malformed progress of task: " + text);
		}
		boolean withCrashes = parts.length == FIELD_COUNT_WITH_CRASHES;
		return new TaskRow(TaskStatus.ofOrdinal(Integer.parseInt(parts[0])), Integer.parseInt(parts[1]),
				Integer.parseInt(parts[2]), decodeField(parts[3]), decodeField(parts[4]), Long.parseLong(parts[5]),
				decodeField(parts[6]), withCrashes ? Integer.parseInt(parts[7]) : 0,
				withCrashes ? Integer.parseInt(parts[8]) : 0);
	}

	static JobSummary readSummary(String text) {
		int end = text.indexOf('\n');
		String[] parts = ((end < 0) ? text : text.substring(0, end)).split(" ", 3);
		if (parts.length != 3) {
			throw new IllegalArgumentException("malformed first line of a stored job: " + parts[0]);
		}
		return new JobSummary(parts[2], JobState.valueOf(parts[0]), Long.parseLong(parts[1]));
	}

	private static String encodeField(String text) {
		return text.isEmpty() ? "-" : text;
	}

	private static String decodeField(String text) {
		return text.equals("-") ? "" : text;
	}

}
