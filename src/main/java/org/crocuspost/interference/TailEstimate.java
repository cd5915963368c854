package org.crocuspost.interference;

import java.time.Duration;

/**
 * Estimate of a high quantile of the latency.
 *
 * @param tail the latency at the quantile
 * @param samples the number of latencies from which the tail was estimated; 0 if there is
 * no estimate
 */
public record TailEstimate(Duration tail, int samples) {

	/**
	 * Returns the pressure, which is the tail divided by an objective.
	 * @param objective the latency objective of the service
	 * @return 1 if the tail is equal to the objective; 0 without samples
	 */
	public double pressure(Duration objective) {
		if (this.samples == 0) {
			return 0;
		}
		return (double) this.tail.toNanos() / objective.toNanos();
	}

}
