package org.crocuspost.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.Clock;

/**
 * Remembers the agents whose connections ended.
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

	synchronized List<PeerIdentity> within(String service, Duration time) {
		long now = this.clock.nanoTime();
		return this.departures.stream()
			.filter((departure) -> departure.service().equals(service))
			.filter((departure) -> now - departure.nanos() <= time.toNanos())
			.map(Departure::agent)
			.distinct()
			.toList();
	}

	private record Departure(String service, PeerIdentity agent, long nanos) {
	}

}
