package org.crocuspost.bench.policy;

/**
 * Weights of the four measures in the figure of merit of a deployment. They sum to 1.
 *
 * @param tail weight of the tail latency of the services
 * @param throughput weight of batch throughput
 * @param evictions weight of evictions
 * @param domainWork weight of the work done while a failure domain is taken out of
 * service and returns
 */
public record MeritWeights(double tail, double throughput, double evictions, double domainWork) {

	private static final double TOLERANCE = 1e-9;

	public MeritWeights {
		if (Math.abs(tail + throughput + evictions + domainWork - 1) > TOLERANCE) {
			throw new IllegalArgumentException("the weights of the figure of merit must sum to 1");
		}
	}

}
