package org.crocuspost.lead;

import java.util.Objects;

/**
 * Content of the row by which a leader names its predecessor, so that the next
 * incarnation of the process of the predecessor can tell that it has ended.
 *
 * @param epoch the epoch of the predecessor
 * @param name the name of its process
 */
record FormerLeader(long epoch, String name) {

	private static final int FIELD_COUNT = 2;

	FormerLeader {
		Objects.requireNonNull(name, "name");
	}

	/**
	 * Decodes the content of the row.
	 * @param text the content
	 * @return the predecessor
	 * @throws IllegalArgumentException if the text is malformed
	 */
	static FormerLeader read(String text) {
		String[] parts = text.split(" ", FIELD_COUNT);
		if (parts.length != FIELD_COUNT) {
			throw new IllegalArgumentException("malformed name of the former leader: " + text);
		}
		return new FormerLeader(Long.parseLong(parts[0]), parts[1]);
	}

	/**
	 * Encodes the content of the row.
	 * @return the content
	 */
	String write() {
		return this.epoch + " " + this.name;
	}

}
