package org.crocuspost.interference;

/**
 * Latencies of one control interval. The logarithm makes a slowdown by a factor a shift
 * of the mean.
 *
 * @param samples the number of latencies
 * @param meanLog the mean of the natural logarithm of the latency in seconds
 * @param varianceLog the variance of that logarithm
 */
public record LatencyInterval(int samples, double meanLog, double varianceLog) {

	/**
	 * An interval in which nothing was measured.
	 */
	public static final LatencyInterval EMPTY = new LatencyInterval(0, 0, 0);

}
