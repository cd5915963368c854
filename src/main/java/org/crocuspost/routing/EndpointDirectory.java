package org.crocuspost.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.Frame;

/**
 * The endpoints that agents have announced to this entry.
 */
public final class EndpointDirectory implements PeerListener {

	private final ConfigurationSource configurations;

	private final Clock clock;

	private final Timer timer;

	private final Map<Peer, RoutedEndpoint> endpoints = new ConcurrentHashMap<>();

	private final DepartedAgents departed;

	private final Map<String, Set<CompletableFuture<Optional<Peer>>>> awaited = new ConcurrentHashMap<>();

	/**
	 * Creates an empty directory.
	 * @param configurations tells which endpoints and failure domains are out
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public EndpointDirectory(ConfigurationSource configurations, Clock clock, Timer timer) {
		this.configurations = configurations;
		this.clock = clock;
		this.timer = timer;
		this.departed = new DepartedAgents(clock);
	}

	/**
	 * Returns the endpoints of a service that take new work: accepting, neither withdrawn
	 * nor in a failure domain that is out, and not ejected. If all of them are ejected,
	 * the ejected ones are returned, since the fault is then unlikely to be theirs.
	 * @param service the name of the service
	 * @return the endpoints
	 */
	public List<RoutedEndpoint> candidates(String service) {
		Configuration configuration = this.configurations.current();
		List<RoutedEndpoint> accepting = this.endpoints.values()
			.stream()
			.filter((endpoint) -> accepts(endpoint, service, configuration))
			.toList();
		List<RoutedEndpoint> healthy = accepting.stream().filter(EndpointDirectory::inUse).toList();
		return healthy.isEmpty() ? accepting : healthy;
	}

	private static boolean accepts(RoutedEndpoint endpoint, String service, Configuration configuration) {
		AgentStatus status = endpoint.status();
		return status.getAccepting() && status.getService().equals(service) && endpoint.peer().open()
				&& !configuration.endpointsWithdrawn().contains(status.getEndpointId())
				&& !configuration.domainsOut().contains(endpoint.peer().identity().failureDomain());
	}

	private static boolean inUse(RoutedEndpoint endpoint) {
		return switch (endpoint.health()) {
			case HEALTHY -> true;
			case EJECTED -> false;
			case PROBATION -> endpoint.outstanding() == 0;
		};
	}

	/**
	 * Returns the agents of a service that are connected, also those that take no work.
	 * @param service the name of the service
	 * @return the connections
	 */
	public List<Peer> agents(String service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.status().getService().equals(service))
			.map(RoutedEndpoint::peer)
			.filter(Peer::open)
			.toList();
	}

	/**
	 * Returns the agents of a service whose connection ended within the given time and
	 * that have not come back in the same incarnation.
	 * @param service the name of the service
	 * @param within the time
	 * @return the identities that the agents had
	 */
	public List<PeerIdentity> departedAgents(String service, Duration within) {
		Set<String> present = this.endpoints.keySet()
			.stream()
			.map((peer) -> peer.identity().incarnation())
			.collect(Collectors.toSet());
		return this.departed.within(service, within)
			.stream()
			.filter((identity) -> !present.contains(identity.incarnation()))
			.toList();
	}

	/**
	 * Returns all endpoints.
	 * @return the endpoints
	 */
	public Collection<RoutedEndpoint> endpoints() {
		return List.copyOf(this.endpoints.values());
	}

	/**
	 * Waits for an open connection to an agent.
	 * @param agentName the name of the agent
	 * @param wait how long to wait
	 * @return the connection, which may be to a later incarnation; empty if none came in
	 * time
	 */
	public CompletionStage<Optional<Peer>> awaitAgent(String agentName, Duration wait) {
		CompletableFuture<Optional<Peer>> result = new CompletableFuture<>();
		Set<CompletableFuture<Optional<Peer>>> waiting = this.awaited.computeIfAbsent(agentName,
				(name) -> ConcurrentHashMap.newKeySet());
		waiting.add(result);
		Cancellable expiry = this.timer.schedule(wait, () -> result.complete(Optional.empty()));
		result.whenComplete((peer, exception) -> {
			expiry.cancel();
			waiting.remove(result);
		});
		openAgent(agentName).ifPresent((peer) -> result.complete(Optional.of(peer)));
		return result;
	}

	private Optional<Peer> openAgent(String agentName) {
		Stream<Peer> peers = this.endpoints.keySet().stream();
		return peers.filter((peer) -> peer.identity().name().equals(agentName) && peer.open()).findFirst();
	}

	@Override
	public void connected(Peer peer) {
		// The endpoint is known from its first announcement on.
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasAgentStatus() && peer.identity().role() == PeerIdentity.Role.AGENT) {
			announce(peer, frame.getAgentStatus());
		}
	}

	private void announce(Peer peer, AgentStatus status) {
		RoutedEndpoint known = this.endpoints.get(peer);
		if (known != null) {
			known.report(status);
			return;
		}
		this.endpoints.put(peer, new RoutedEndpoint(peer, status, this.clock));
		Set<CompletableFuture<Optional<Peer>>> waiting = this.awaited.get(peer.identity().name());
		if (waiting != null) {
			waiting.forEach((result) -> result.complete(Optional.of(peer)));
		}
	}

	@Override
	public void disconnected(Peer peer) {
		RoutedEndpoint endpoint = this.endpoints.remove(peer);
		if (endpoint != null) {
			this.departed.add(endpoint.status().getService(), peer.identity());
		}
	}

}
