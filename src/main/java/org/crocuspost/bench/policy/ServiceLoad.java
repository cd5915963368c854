package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Generates the requests of the service on one worker. The sequence of random numbers
 * doesn't depend on the decisions of the policy, so that policies are compared on the
 * same requests.
 */
final class ServiceLoad {

	private static final double LATENCY_DEVIATION = 0.35;

	private static final double SHIFT_AUTOCORRELATION = 0.98;

	private static final double SHIFT_NOISE_DEVIATION = 0.03;

	private static final int SLOTS = 8;

	private static final double MAX_UTILIZATION = 0.97;

	private final ServiceProfile service;

	private final SplittableRandom random;

	private double logShift;

	private double load;

	ServiceLoad(ServiceProfile service, SplittableRandom random) {
		this.service = service;
		this.random = random;
	}

	/**
	 * Advances to the next second.
	 * @param expectedLoad the expected load relative to the peak
	 * @return the number of requests in this second
	 */
	int advance(double expectedLoad) {
		this.logShift = SHIFT_AUTOCORRELATION * this.logShift + SHIFT_NOISE_DEVIATION * this.random.nextGaussian();
		this.load = Math.min(1.2, expectedLoad * Math.exp(this.logShift));
		return Distributions.poisson(this.random, this.load * this.service.peakRequestsPerSecond());
	}

	/**
	 * Draws the latency of one request.
	 * @param slowdown the factor by which batch tasks slow the service down
	 * @return the latency
	 */
	Duration latency(double slowdown) {
		double randomFactor = Math.exp(LATENCY_DEVIATION * this.random.nextGaussian());
		double seconds = this.service.medianLatency().toNanos() / 1e9 * slowdown * queueingFactor(slowdown)
				* randomFactor;
		return Duration.ofNanos((long) (seconds * 1e9));
	}

	double load() {
		return this.load;
	}

	/**
	 * Returns the mean time in the system relative to the service time, by Sakasegawa's
	 * approximation for a queue with several servers.
	 * @param slowdown the factor by which batch tasks slow the service down
	 * @return the ratio, at least 1
	 */
	private double queueingFactor(double slowdown) {
		double utilization = Math.min(MAX_UTILIZATION, this.load * this.service.peakUtilization() * slowdown);
		double exponent = Math.sqrt(2.0 * (SLOTS + 1)) - 1;
		return 1 + Math.pow(utilization, exponent) / (SLOTS * (1 - utilization));
	}

}
