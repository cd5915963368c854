package org.crocuspost.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses the endpoints in turn. Serves as a baseline in benchmarks.
 */
public final class RoundRobinPolicy implements RoutingPolicy {

	private final AtomicInteger next = new AtomicInteger();

	@Override
	public RoutedEndpoint choose(List<RoutedEndpoint> candidates) {
		return candidates.get(Math.floorMod(this.next.getAndIncrement(), candidates.size()));
	}

}
