package org.crocuspost.routing;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Power of two choices over the expected time: draws two endpoints at random and takes
 * the one that is expected to answer sooner. Endpoints in other failure domains count as
 * slower by the time on the way.
 * <p>
 * Taking the best of all instead would send the requests of all entries to the same
 * endpoint between two of its reports. Round robin sends a slow endpoint its full share:
 * with one of 11 endpoints slow, 9% of the requests are slow, so the 99th percentile is
 * that of the slow endpoint.
 */
public final class ExpectedTimePolicy implements RoutingPolicy {

	private final String failureDomain;

	private final Duration distance;

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param failureDomain the failure domain of this entry
	 * @param distance the time to another failure domain and back
	 * @param random the source of random numbers; safe for use by several threads
	 */
	public ExpectedTimePolicy(String failureDomain, Duration distance, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.distance = distance;
		this.random = random;
	}

	@Override
	public RoutedEndpoint choose(List<RoutedEndpoint> candidates) {
		int size = candidates.size();
		if (size == 1) {
			return candidates.get(0);
		}
		int first = this.random.nextInt(size);
		int second = (first + 1 + this.random.nextInt(size - 1)) % size;
		RoutedEndpoint one = candidates.get(first);
		RoutedEndpoint other = candidates.get(second);
		return (cost(one) <= cost(other)) ? one : other;
	}

	private double cost(RoutedEndpoint endpoint) {
		boolean local = endpoint.peer().identity().failureDomain().equals(this.failureDomain);
		double way = local ? 0 : this.distance.toNanos();
		return endpoint.expectedNanos() + way;
	}

}
