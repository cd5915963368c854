package org.crocuspost.lead;

/**
 * Content of the row by which a process says that an earlier incarnation of it was the
 * leader of an epoch, and has ended. That stays true, so the row may be written late.
 *
 * @param epoch the epoch of the leader that has ended
 * @param ageMillis the time from the start of the present incarnation until it sent the
 * row, in milliseconds of its monotonic clock
 */
record EndedLeader(long epoch, long ageMillis) {

	private static final int FIELD_COUNT = 2;

	EndedLeader {
		if (ageMillis < 0) {
			throw new IllegalArgumentException("the age of a process is negative");
		}
	}

	/**
	 * Decodes the content of the row.
	 * @param text the content
	 * @return the leader that has ended
	 * @throws IllegalArgumentException if the text is malformed
	 */
	static EndedLeader read(String text) {
		String[] parts = text.split(" ", FIELD_COUNT);
		if (parts.length != FIELD_COUNT) {
			throw new IllegalArgumentException("malformed end of a leader: " + text);
		}
		return new EndedLeader(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
	}

	/**
	 * Encodes the content of the row.
	 * @return the content
	 */
	String write() {
		return this.epoch + " " + this.ageMillis;
	}

}
