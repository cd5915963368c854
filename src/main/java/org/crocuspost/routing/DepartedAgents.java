package org.crocuspost.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.Clock;

/**
 * Records the agents whose connections ended, up to a maximum number of departures.
 */
final class DepartedAgents {

	private static final int MAXIMUM_DEPARTURES = 10_000;

	private final Clock clock;

	private final Deque<Departure> departures = new ArrayDeque<>();

	DepartedAgents(Clock clock) {
		this.clock = clock;
	}

	synchronized void add(String service, PeerIdentity agent) {
		this.departures.addLast(new Departure(service, agent, this.clock.nanoTime()));
		if (this.departures.size() > MAXIMUM_DEPARTURES) {
			this.departures.removeFirst();
		}
	}

	synchronized List<PeerIdentity> departedWithin(String service, Duration period) {
		long now = this.clock.nanoTime();
		return this.departures.stream()
			.filter((departure) -> departure.service().equals(service))
			.filter((departure) -> now - departure.departedNanos() <= period.toNanos())
			.map(Departure::agent)
			.distinct()
			.toList();
	}

	private record Departure(String service, PeerIdentity agent, long departedNanos) {
	}

}
