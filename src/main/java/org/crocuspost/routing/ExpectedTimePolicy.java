package org.crocuspost.routing;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Applies power-of-two-choices load balancing to the expected time: picks two endpoints
 * at random and chooses the one that is expected to answer sooner. For endpoints in other
 * failure domains the network round trip is added to the expected time.
 * <p>
 * Choosing the best of all endpoints instead would send the requests of all entries to
 * the same endpoint between two of its reports. Round robin sends a slow endpoint its
 * full share: if one of 11 endpoints is slow, 9% of the requests are slow, so the 99th
 * percentile is that of the slow endpoint.
 */
public final class ExpectedTimePolicy implements RoutingPolicy {

	private final String failureDomain;

	private final Duration crossDomainRoundTrip;

	private final RandomGenerator random;

	/**
	 * Creates the policy.
	 * @param failureDomain the failure domain of this entry
	 * @param crossDomainRoundTrip the network round-trip time to another failure domain
	 * @param random the source of random numbers, which must be thread-safe
	 */
	public ExpectedTimePolicy(String failureDomain, Duration crossDomainRoundTrip, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.crossDomainRoundTrip = crossDomainRoundTrip;
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
		RoutedEndpoint firstEndpoint = candidates.get(first);
		RoutedEndpoint secondEndpoint = candidates.get(second);
		return (cost(firstEndpoint) <= cost(secondEndpoint)) ? firstEndpoint : secondEndpoint;
	}

	private double cost(RoutedEndpoint endpoint) {
		boolean local = endpoint.peer().identity().failureDomain().equals(this.failureDomain);
		double networkNanos = local ? 0 : this.crossDomainRoundTrip.toNanos();
		return endpoint.expectedNanos() + networkNanos;
	}

}
