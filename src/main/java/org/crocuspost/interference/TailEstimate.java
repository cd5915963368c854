package org.crocuspost.interference;

import java.time.Duration;

/**
 * Estimate of a high quantile of latency.
 *
 * @param tail the latency at the quantile
 * @param samples the number of latencies on which the estimate rests; 0 if there is none
 */
public record TailEstimate(Duration tail, int samples) {

	/**
	 * Relates the tail to an objective.
	 * @param objective the latency that the service promises
	 * @return 1 if the tail is equal to the objective; 0 without samples
	 */
	public double pressure(Duration objective) {
		if (this.samples == 0) {
			return 0;
		}
		return (double) this.tail.toNanos() / objective.toNanos();
	}

}
