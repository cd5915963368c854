package org.crocuspost.lead;

/**
 * Content of the row that names the leader.
 *
 * @param epoch rises with each change of the leader
 * @param sequence rises with each transaction of the leader
 * @param name the name of the leader; empty if it has resigned
 */
public record LeaderRecord(long epoch, long sequence, String name) {

	private static final int FIELDS = 3;

	/**
	 * Content before there was any leader.
	 */
	public static final LeaderRecord NONE = new LeaderRecord(0, 0, "");

	/**
	 * Reads the content of the row.
	 * @param text the content; empty if the row does not exist
	 * @return the record
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static LeaderRecord read(String text) {
		if (text.isEmpty()) {
			return NONE;
		}
		String[] parts = text.split(" ", FIELDS);
		if (parts.length != FIELDS) {
			throw new IllegalArgumentException("malformed leader: " + text);
		}
		return new LeaderRecord(Long.parseLong(parts[0]), Long.parseLong(parts[1]), parts[2]);
	}

	/**
	 * Writes the content of the row.
	 * @return the text
	 */
	public String write() {
		return this.epoch + " " + this.sequence + " " + this.name;
	}

	/**
	 * Says whether the leader has resigned or there never was one.
	 * @return true if anyone may take over at once
	 */
	public boolean vacant() {
		return this.name.isEmpty();
	}

}
