package org.crocuspost.report;

/**
 * Requests of one service in one minute.
 *
 * @param minute minutes since the epoch
 * @param total all requests
 * @param unavailable requests that did not get the service's answer
 * @param slow requests that got an answer later than the objective
 */
public record MinuteCounts(long minute, long total, long unavailable, long slow) {

	/**
	 * Adds the counts of another entry for the same minute.
	 * @param other the other counts
	 * @return the sum
	 */
	public MinuteCounts plus(MinuteCounts other) {
		return new MinuteCounts(this.minute, this.total + other.total, this.unavailable + other.unavailable,
				this.slow + other.slow);
	}

}
