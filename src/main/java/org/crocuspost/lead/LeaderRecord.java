package org.crocuspost.lead;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Content of the leader's row, which names the current leader.
 *
 * @param epoch the epoch, which increases with each change of the leader
 * @param sequence the sequence number, which increases with each transaction of the
 * leader
 * @param name the name of the leader; empty if it has resigned
 * @param deadlines until when this and earlier leaders may extend leases; empty if the
 * store does not tell its time, or if the leader is of a version that does not record it
 */
public record LeaderRecord(long epoch, long sequence, String name, Optional<ExtensionDeadlines> deadlines) {

	private static final int FIELD_COUNT = 3;

	/**
	 * Form of the name with the deadlines. A name that has this form itself is marked as
	 * written without deadlines.
	 */
	private static final Pattern NAME_WITH_DEADLINES = Pattern.compile("(.*) @(?:([0-9]+)/([0-9]+))?", Pattern.DOTALL);

	private static final String NO_DEADLINES = " @";

	/**
	 * Maximum number in a row that a leader wrote: both count transactions. A larger one
	 * would leave no room for the epochs of the next leaders.
	 */
	private static final long MAXIMUM_NUMBER = 1L << 53;

	/**
	 * Content before the first leader.
	 */
	public static final LeaderRecord NONE = new LeaderRecord(0, 0, "");

	public LeaderRecord {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(deadlines, "deadlines");
	}

	/**
	 * Creates a record without deadlines.
	 * @param epoch the epoch
	 * @param sequence the sequence number
	 * @param name the name of the leader; empty if it has resigned
	 */
	public LeaderRecord(long epoch, long sequence, String name) {
		this(epoch, sequence, name, Optional.empty());
	}

	/**
	 * Decodes the content of the row.
	 * @param text the content; empty if the row does not exist
	 * @return the record
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static LeaderRecord read(String text) {
		if (text.isEmpty()) {
			return NONE;
		}
		String[] parts = text.split(" ", FIELD_COUNT);
		if (parts.length != FIELD_COUNT) {
			throw new IllegalArgumentException("malformed content of the leader's row: " + text);
		}
		Matcher matcher = NAME_WITH_DEADLINES.matcher(parts[2]);
		if (!matcher.matches()) {
			return new LeaderRecord(parseNumber(parts[0]), parseNumber(parts[1]), parts[2]);
		}
		Optional<ExtensionDeadlines> deadlines = Optional.ofNullable(matcher.group(2))
			.map((holder) -> new ExtensionDeadlines(parseNumber(holder), parseNumber(matcher.group(3))));
		return new LeaderRecord(parseNumber(parts[0]), parseNumber(parts[1]), matcher.group(1), deadlines);
	}

	private static long parseNumber(String text) {
		long number = Long.parseLong(text);
		if (number < 0 || number > MAXIMUM_NUMBER) {
			throw new IllegalArgumentException("number out of range in the leader's row: " + text);
		}
		return number;
	}

	/**
	 * Encodes the content of the row.
	 * @return the content
	 */
	public String write() {
		String line = this.epoch + " " + this.sequence + " " + this.name;
		if (this.deadlines.isPresent()) {
			return line + " @" + this.deadlines.get().holderMillis() + "/" + this.deadlines.get().formerMillis();
		}
		return NAME_WITH_DEADLINES.matcher(this.name).matches() ? line + NO_DEADLINES : line;
	}

	/**
	 * Returns whether the leader has resigned or there has never been one.
	 * @return true if any candidate may take over immediately
	 */
	public boolean vacant() {
		return this.name.isEmpty();
	}

}
