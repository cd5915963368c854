package org.crocuspost.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * Keeps the newest log lines of this process in memory, for operators who follow them.
 */
public final class RecentEvents {

	private static final int CAPACITY = 1_000;

	private static final Deque<Line> LINES = new ArrayDeque<>();

	private static long newest;

	private RecentEvents() {
	}

	/**
	 * Adds a line and drops the oldest if there are too many.
	 * @param fields the fields of the line
	 */
	static synchronized void add(Map<String, String> fields) {
		newest++;
		LINES.addLast(new Line(newest, Map.copyOf(fields)));
		if (LINES.size() > CAPACITY) {
			LINES.removeFirst();
		}
	}

	/**
	 * Returns the lines after a position.
	 * @param sequence the number of the last line that is known; 0 for all
	 * @return the lines in order
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
	 * A log line.
	 *
	 * @param sequence rises with each line of the process
	 * @param fields the fields of the line
	 */
	public record Line(long sequence, Map<String, String> fields) {
	}

}
