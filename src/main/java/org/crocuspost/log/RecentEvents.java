package org.crocuspost.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Keeps the most recent log lines of this process in memory, for operators who follow the
 * log.
 */
public final class RecentEvents {

	private static final int CAPACITY = 1_000;

	private static final Deque<Line> LINES = new ArrayDeque<>();

	private static long lastSequence;

	private RecentEvents() {
	}

	/**
	 * Adds a line and drops the oldest line if the capacity is exceeded.
	 * @param fields the fields of the line
	 */
	static synchronized void add(Map<String, String> fields) {
		lastSequence++;
		LINES.addLast(new Line(lastSequence, Map.copyOf(fields)));
		if (LINES.size() > CAPACITY) {
			LINES.removeFirst();
		}
	}

	/**
	 * Returns the lines after a position.
	 * @param sequence the sequence number of the last line already received; 0 for all
	 * @return the newer lines in ascending order of sequence number
	 */
	public static synchronized List<Line> after(long sequence) {
		List<Line> result = new ArrayList<>();
		for (Line line : LINES) {
			if (line.sequence() > sequence) {
				result.add(line);
			}
		}
		return result;
	}

	/**
	 * Holds the fields of a log line and its position in the log.
	 *
	 * @param sequence the sequence number, which increases by one with each line of the
	 * process
	 * @param fields the fields of the line
	 */
	public record Line(long sequence, Map<String, String> fields) {
	}

}
