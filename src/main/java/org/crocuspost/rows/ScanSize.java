package org.crocuspost.rows;

import java.time.Duration;

/**
 * Decides how many rows of a table are requested at once, so that the answers arrive
 * within the timeout of a call over a link of any bandwidth. Not thread-safe.
 */
final class ScanSize {

	/**
	 * Number of rows that are requested first. It is the most that the store returns in
	 * one page, so a table of a single page needs one call.
	 */
	static final int INITIAL_ROWS = 500;

	/**
	 * Time within which answers must arrive for twice as many rows to be requested next.
	 * These then take at most 1.3 s, and a call of the store times out after 1.5 s.
	 */
	static final Duration DOUBLING_TIME = Duration.ofMillis(650);

	/**
	 * Time within which answers must arrive for four times as many rows to be requested
	 * next. An outage of the store reduces the number like a slow link does, and must not
	 * delay reading for long after its end.
	 */
	static final Duration QUADRUPLING_TIME = DOUBLING_TIME.dividedBy(2);

	private final int maximumRows;

	private int rows;

	/**
	 * Creates a size for a table.
	 * @param maximumRows the maximum number of rows that may be requested at once
	 */
	ScanSize(int maximumRows) {
		this.maximumRows = maximumRows;
		this.rows = Math.min(INITIAL_ROWS, maximumRows);
	}

	/**
	 * Returns how many rows to request next, over all partitions of the table.
	 * @return the number, at least 1
	 */
	int rows() {
		return this.rows;
	}

	/**
	 * Records that all requested rows have arrived.
	 * @param elapsed the time from the requests to the last answer
	 */
	void answered(Duration elapsed) {
		if (elapsed.compareTo(QUADRUPLING_TIME) <= 0) {
			this.rows = Math.min(this.maximumRows, this.rows * 4);
		}
		else if (elapsed.compareTo(DOUBLING_TIME) <= 0) {
			this.rows = Math.min(this.maximumRows, this.rows * 2);
		}
	}

	/**
	 * Records that at least one request has failed. A failure that is not a timeout may
	 * also be due to the size of an answer, which the HTTP client limits.
	 */
	void failed() {
		this.rows = Math.max(1, this.rows / 2);
	}

}
