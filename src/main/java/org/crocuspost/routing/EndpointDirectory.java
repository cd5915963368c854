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
 * Holds the endpoints that agents have announced to this entry.
 */
public final class EndpointDirectory implements PeerListener {

	private final ConfigurationSource configurations;

	private final Clock clock;

	private final Timer timer;

	private final Map<Peer, RoutedEndpoint> endpoints = new ConcurrentHashMap<>();

	private final DepartedAgents departed;

	private final Map<String, Set<CompletableFuture<Optional<Peer>>>> pendingWaits = new ConcurrentHashMap<>();

	/**
	 * Creates an empty directory.
	 * @param configurations provides the endpoints and failure domains that are out of
	 * service
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
	 * Returns the endpoints of a service that take new work: those that accept requests,
	 * are neither withdrawn nor in a failure domain out of service, and are neither
	 * ejected nor on probation with a request outstanding. If all endpoints that accept
	 * requests are ejected or on probation with a request outstanding, all of them are
	 * returned, since the endpoints are then unlikely to be the cause of the failures.
	 * @param service the name of the service
	 * @return the endpoints
	 */
	public List<RoutedEndpoint> candidates(String service) {
		Configuration configuration = this.configurations.current();
		List<RoutedEndpoint> accepting = this.endpoints.values()
			.stream()
			.filter((endpoint) -> accepts(endpoint, service, configuration))
			.toList();
		List<RoutedEndpoint> available = accepting.stream().filter(EndpointDirectory::eligible).toList();
		return available.isEmpty() ? accepting : available;
	}

	private static boolean accepts(RoutedEndpoint endpoint, String service, Configuration configuration) {
		AgentStatus status = endpoint.status();
		return status.getAccepting() && status.getService().equals(service) && endpoint.peer().open()
				&& !configuration.endpointsWithdrawn().contains(status.getEndpointId())
				&& !configuration.domainsOut().contains(endpoint.peer().identity().failureDomain());
	}

	private static boolean eligible(RoutedEndpoint endpoint) {
		return switch (endpoint.health()) {
			case HEALTHY -> true;
			case EJECTED -> false;
			case PROBATION -> endpoint.outstanding() == 0;
		};
	}

	/**
	 * Returns the connected agents of a service, including those that take no new work.
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
	 * Returns the agents of a service whose connection ended within the given period and
	 * that have not reconnected in the same incarnation.
	 * @param service the name of the service
	 * @param period the period that ends now
	 * @return the identities of the agents
	 */
	public List<PeerIdentity> departedAgents(String service, Duration period) {
		Set<String> present = this.endpoints.keySet()
			.stream()
			.map((peer) -> peer.identity().incarnation())
			.collect(Collectors.toSet());
		return this.departed.departedWithin(service, period)
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
	 * Waits for an open connection to an agent, without blocking.
	 * @param agentName the name of the agent
	 * @param timeout the maximum time to wait
	 * @return a stage that completes with the connection, which may be to a later
	 * incarnation, or with empty after the timeout
	 */
	public CompletionStage<Optional<Peer>> awaitAgent(String agentName, Duration timeout) {
		CompletableFuture<Optional<Peer>> result = new CompletableFuture<>();
		Set<CompletableFuture<Optional<Peer>>> waits = this.pendingWaits.computeIfAbsent(agentName,
				(name) -> ConcurrentHashMap.newKeySet());
		waits.add(result);
		Cancellable expiry = this.timer.schedule(timeout, () -> result.complete(Optional.empty()));
		result.whenComplete((peer, exception) -> {
			expiry.cancel();
			waits.remove(result);
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
		// The endpoint is added when its agent first announces it.
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasAgentStatus() && peer.identity().role() == PeerIdentity.Role.AGENT) {
			update(peer, frame.getAgentStatus());
		}
	}

	private void update(Peer peer, AgentStatus status) {
		RoutedEndpoint known = this.endpoints.get(peer);
		if (known != null) {
			known.updateStatus(status);
			return;
		}
		this.endpoints.put(peer, new RoutedEndpoint(peer, status, this.clock));
		Set<CompletableFuture<Optional<Peer>>> waits = this.pendingWaits.get(peer.identity().name());
		if (waits != null) {
			waits.forEach((result) -> result.complete(Optional.of(peer)));
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
