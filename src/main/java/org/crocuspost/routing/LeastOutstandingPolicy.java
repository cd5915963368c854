package org.crocuspost.routing;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Takes the endpoint to which this entry has the fewest outstanding requests, the first
 * from a random place on. A baseline to measure against.
 */
public final class LeastOutstandingPolicy implements RoutingPolicy {

	@Override
	public RoutedEndpoint choose(List<RoutedEndpoint> candidates) {
		int offset = ThreadLocalRandom.current().nextInt(candidates.size());
		RoutedEndpoint best = candidates.get(offset);
		for (int index = 1; index < candidates.size(); index++) {
			RoutedEndpoint other = candidates.get((offset + index) % candidates.size());
			if (other.outstanding() < best.outstanding()) {
				best = other;
			}
		}
		return best;
	}

}
