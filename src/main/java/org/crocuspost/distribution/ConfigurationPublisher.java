package org.crocuspost.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.ConfigurationConfirmation;
import org.crocuspost.wire.Frame;

/**
 * Sends each agent of an entry its part of the configuration, on connecting and on
 * change, and collects the confirmations.
 *
 * <p>
 * While the entry can read the newest version it renews, at {@link #RENEWAL_INTERVAL},
 * the agents' right to start tasks. An agent whose connection is lost may act on its
 * version until that right has lapsed; for {@link #LAPSE} it counts as silent and is
 * awaited.
 */
public final class ConfigurationPublisher implements PeerListener {

	/**
	 * Time between two renewals.
	 */
	public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Time after the loss of a connection after which its agent has no right to start
	 * tasks any more, with a margin for clock drift.
	 */
	public static final Duration LAPSE = ConfigurationReceiver.VALIDITY.plus(Duration.ofSeconds(2));

	private final HeadWatcher watcher;

	private final Clock clock;

	private final Map<String, AgentConnection> connections = new HashMap<>();

	private final Map<String, SilentAgent> silent = new HashMap<>();

	private final List<Runnable> summaryListeners = new CopyOnWriteArrayList<>();

	private final Cancellable renewal;

	private long lowestTold;

	/**
	 * Creates the publisher.
	 * @param watcher gives the newest configuration
	 * @param clock measures how long agents are silent
	 * @param timer schedules the renewals
	 */
	public ConfigurationPublisher(HeadWatcher watcher, Clock clock, Timer timer) {
		this.watcher = watcher;
		this.clock = clock;
		watcher.addListener((configuration) -> publish());
		this.renewal = timer.repeat(RENEWAL_INTERVAL, this::publish);
	}

	/**
	 * Adds a listener that is told when the lowest version in the summary has changed.
	 * @param listener the listener; must not block
	 */
	public void addSummaryListener(Runnable listener) {
		this.summaryListeners.add(listener);
	}

	/**
	 * Ends the renewals.
	 */
	public void stop() {
		this.renewal.cancel();
	}

	@Override
	public void connected(Peer peer) {
		// The agent speaks first and says what it serves.
	}

	@Override
	public synchronized void received(Peer peer, Frame frame) {
		if (!frame.hasConfigurationConfirmation() || peer.identity().role() != PeerIdentity.Role.AGENT) {
			return;
		}
		ConfigurationConfirmation confirmation = frame.getConfigurationConfirmation();
		this.watcher.heardOf(confirmation.getVersion());
		AgentConnection connection = this.connections.get(peer.identity().name());
		if (connection == null || connection.peer() != peer) {
			connection = new AgentConnection(peer, confirmation);
			this.connections.put(peer.identity().name(), connection);
			this.silent.remove(peer.identity().name());
			send(connection);
			tellIfLowestChanged();
			return;
		}
		connection.confirmed(confirmation.getVersion());
		if (confirmation.getVersion() < this.watcher.current().version() && connection.behind()) {
			send(connection);
		}
		tellIfLowestChanged();
	}

	@Override
	public synchronized void disconnected(Peer peer) {
		String name = peer.identity().name();
		AgentConnection connection = this.connections.get(name);
		if (connection != null && connection.peer() == peer) {
			this.connections.remove(name);
			this.silent.put(name, new SilentAgent(connection.confirmed(), this.clock.nanoTime()));
		}
	}

	private synchronized void publish() {
		this.connections.values().forEach(this::send);
		long now = this.clock.nanoTime();
		this.silent.values().removeIf((agent) -> now - agent.sinceNanos() >= LAPSE.toNanos());
		tellIfLowestChanged();
	}

	private void tellIfLowestChanged() {
		long lowest = lowestVersion();
		if (lowest != this.lowestTold) {
			this.lowestTold = lowest;
			this.summaryListeners.forEach(Runnable::run);
		}
	}

	private long lowestVersion() {
		long lowest = this.watcher.current().version();
		for (AgentConnection connection : this.connections.values()) {
			lowest = lower(lowest, connection.confirmed());
		}
		for (SilentAgent agent : this.silent.values()) {
			lowest = lower(lowest, agent.version());
		}
		return lowest;
	}

	private static long lower(long lowest, long confirmed) {
		return (confirmed > 0) ? Math.min(lowest, confirmed) : lowest;
	}

	private void send(AgentConnection connection) {
		Configuration configuration = this.watcher.current();
		if (configuration.version() > 0) {
			connection.send(configuration, this.watcher.readWithin(RENEWAL_INTERVAL));
		}
	}

	/**
	 * Returns what this entry knows of confirmations. Agents that have not confirmed any
	 * version yet do no work and are left out.
	 * @return the summary for the row of this entry
	 */
	public synchronized ConfirmationSummary summary() {
		long version = this.watcher.current().version();
		List<AwaitedProcess> behind = new ArrayList<>();
		this.connections.forEach((name, connection) -> addIfBehind(behind, name, connection.confirmed(), version));
		this.silent.forEach((name, agent) -> addIfBehind(behind, name, agent.version(), version));
		behind.sort(Comparator.comparingLong(AwaitedProcess::version).thenComparing(AwaitedProcess::name));
		return new ConfirmationSummary(version, lowestVersion(),
				behind.subList(0, Math.min(behind.size(), ConfirmationSummary.MAXIMUM_NAMED)));
	}

	private static void addIfBehind(List<AwaitedProcess> behind, String name, long confirmed, long version) {
		if (confirmed > 0 && confirmed < version) {
			behind.add(new AwaitedProcess("agent", name, confirmed));
		}
	}

	private record SilentAgent(long version, long sinceNanos) {
	}

}
