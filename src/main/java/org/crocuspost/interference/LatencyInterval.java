package org.crocuspost.interference;

/**
 * Summary of the latencies of one control interval. Logarithms are used because a
 * slowdown by a constant factor shifts their mean by a constant.
 *
 * @param samples the number of latencies
 * @param meanLog the mean of the natural logarithm of the latency in seconds
 * @param varianceLog the variance of that logarithm
 */
public record LatencyInterval(int samples, double meanLog, double varianceLog) {

	/**
	 * Interval without latencies.
	 */
	public static final LatencyInterval EMPTY = new LatencyInterval(0, 0, 0);

}
