package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Requests of the service on one worker. Draws the same numbers whatever the policy does,
 * so that policies are compared on the same requests.
 */
final class ServiceLoad {

	private static final double LATENCY_DEVIATION = 0.35;

	private static final double SHIFT_MEMORY = 0.98;

	private static final double SHIFT_NOISE = 0.03;

	private static final int SLOTS = 8;

	private static final double MOST_UTILIZATION = 0.97;

	private final ServiceProfile service;

	private final SplittableRandom random;

	private double shift;

	private double load;

	ServiceLoad(ServiceProfile service, SplittableRandom random) {
		this.service = service;
		this.random = random;
	}

	/**
	 * Moves to the next second.
	 * @param expected the expected load relative to the peak
	 * @return the number of requests in this second
	 */
	int next(double expected) {
		this.shift = SHIFT_MEMORY * this.shift + SHIFT_NOISE * this.random.nextGaussian();
		this.load = Math.min(1.2, expected * Math.exp(this.shift));
		return Distributions.poisson(this.random, this.load * this.service.peakRequests());
	}

	/**
	 * Draws the latency of one request.
	 * @param slowdown the factor by which batch work slows the service down
	 * @return the latency
	 */
	Duration latency(double slowdown) {
		double spread = Math.exp(LATENCY_DEVIATION * this.random.nextGaussian());
		double seconds = this.service.medianLatency().toNanos() / 1e9 * slowdown * queueing(slowdown) * spread;
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	double load() {
		return this.load;
	}

	/**
	 * Returns the mean time in the system relative to the service time, by Sakasegawa's
	 * approximation for several servers.
	 * @param slowdown the factor by which batch work slows the service down
	 * @return the ratio, at least 1
	 */
	private double queueing(double slowdown) {
		double utilization = Math.min(MOST_UTILIZATION, this.load * this.service.peakUtilization() * slowdown);
		double exponent = Math.sqrt(2.0 * (SLOTS + 1)) - 1;
		return 1 + Math.pow(utilization, exponent) / (SLOTS * (1 - utilization));
	}

}
