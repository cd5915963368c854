package org.crocuspost.report;

/**
 * Number of requests of one service in one minute.
 *
 * @param minute the minute, counted from the Unix epoch
 * @param total the number of all requests
 * @param unavailable the number of requests that did not get the service's response
 * @param slow the number of requests that got a response later than the latency objective
 */
public record MinuteCounts(long minute, long total, long unavailable, long slow) {

	/**
	 * Adds the counts of another entry for the same minute.
	 * @param other the counts of the other entry
	 * @return the sum
	 */
	public MinuteCounts plus(MinuteCounts other) {
		return new MinuteCounts(this.minute, this.total + other.total, this.unavailable + other.unavailable,
				this.slow + other.slow);
	}

}
