package org.crocuspost.routing;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses the endpoint to which this entry has the fewest outstanding requests. The
 * search starts at a random position, so ties are broken at random. Serves as a baseline
 * in benchmarks.
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
