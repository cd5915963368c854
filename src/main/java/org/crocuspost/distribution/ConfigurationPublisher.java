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
 * Sends each agent of an entry its part of the configuration, when the agent connects and
 * after each change, and collects the confirmations.
 *
 * <p>
 * While the entry can read the newest version, it renews the agents' permission to start
 * tasks at each {@link #RENEWAL_INTERVAL}. An agent whose connection is lost may act on
 * its version until that permission has expired, so its confirmation is awaited for
 * another {@link #START_PERMISSION_TIMEOUT}.
 */
public final class ConfigurationPublisher implements PeerListener {

	/**
	 * Time between two renewals.
	 */
	public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Time after the loss of a connection after which its agent no longer has the
	 * permission to start tasks, with a margin of two seconds for clock drift.
	 */
	public static final Duration START_PERMISSION_TIMEOUT = ConfigurationReceiver.RENEWAL_VALIDITY
		.plus(Duration.ofSeconds(2));

	private final HeadWatcher watcher;

	private final Clock clock;

	private final Map<String, AgentConnection> connections = new HashMap<>();

	private final Map<String, DisconnectedAgent> disconnectedAgents = new HashMap<>();

	private final List<Runnable> summaryListeners = new CopyOnWriteArrayList<>();

	private final Cancellable renewalTimer;

	private long reportedLowestVersion;

	/**
	 * Creates the publisher.
	 * @param watcher supplies the newest configuration
	 * @param clock measures the time since agents disconnected
	 * @param timer schedules the renewals
	 */
	public ConfigurationPublisher(HeadWatcher watcher, Clock clock, Timer timer) {
		this.watcher = watcher;
		this.clock = clock;
		watcher.addListener((configuration) -> publish());
		this.renewalTimer = timer.repeat(RENEWAL_INTERVAL, this::publish);
	}

	/**
	 * Adds a listener that is called when the lowest version in the summary has changed.
	 * @param listener the listener; must not block
	 */
	public void addSummaryListener(Runnable listener) {
		this.summaryListeners.add(listener);
	}

	/**
	 * Ends the renewals.
	 */
	public void stop() {
		this.renewalTimer.cancel();
	}

	@Override
	public void connected(Peer peer) {
		// The agent sends the first frame, which names its service and endpoint.
	}

	@Override
	public synchronized void received(Peer peer, Frame frame) {
		if (!frame.hasConfigurationConfirmation() || peer.identity().role() != PeerIdentity.Role.AGENT) {
			return;
		}
		ConfigurationConfirmation confirmation = frame.getConfigurationConfirmation();
		this.watcher.observeVersion(confirmation.getVersion());
		AgentConnection connection = this.connections.get(peer.identity().name());
		if (connection == null || connection.peer() != peer) {
			connection = new AgentConnection(peer, confirmation);
			this.connections.put(peer.identity().name(), connection);
			this.disconnectedAgents.remove(peer.identity().name());
			send(connection);
			notifyIfLowestVersionChanged();
			return;
		}
		connection.recordConfirmation(confirmation.getVersion());
		if (confirmation.getVersion() < this.watcher.current().version() && connection.behind()) {
			send(connection);
		}
		notifyIfLowestVersionChanged();
	}

	@Override
	public synchronized void disconnected(Peer peer) {
		String name = peer.identity().name();
		AgentConnection connection = this.connections.get(name);
		if (connection != null && connection.peer() == peer) {
			this.connections.remove(name);
			this.disconnectedAgents.put(name,
					new DisconnectedAgent(connection.confirmedVersion(), this.clock.nanoTime()));
		}
	}

	private synchronized void publish() {
		this.connections.values().forEach(this::send);
		long now = this.clock.nanoTime();
		this.disconnectedAgents.values()
			.removeIf((agent) -> now - agent.disconnectedAtNanos() >= START_PERMISSION_TIMEOUT.toNanos());
		notifyIfLowestVersionChanged();
	}

	private void notifyIfLowestVersionChanged() {
		long lowest = lowestVersion();
		if (lowest != this.reportedLowestVersion) {
			this.reportedLowestVersion = lowest;
			this.summaryListeners.forEach(Runnable::run);
		}
	}

	private long lowestVersion() {
		long lowest = this.watcher.current().version();
		for (AgentConnection connection : this.connections.values()) {
			lowest = minimumConfirmed(lowest, connection.confirmedVersion());
		}
		for (DisconnectedAgent agent : this.disconnectedAgents.values()) {
			lowest = minimumConfirmed(lowest, agent.version());
		}
		return lowest;
	}

	private static long minimumConfirmed(long lowest, long confirmed) {
		return (confirmed > 0) ? Math.min(lowest, confirmed) : lowest;
	}

	private void send(AgentConnection connection) {
		Configuration configuration = this.watcher.current();
		if (configuration.version() > 0) {
			connection.send(configuration, this.watcher.readWithin(RENEWAL_INTERVAL));
		}
	}

	/**
	 * Returns the summary of the versions that this entry and its agents have confirmed.
	 * Agents that have not confirmed any version yet do no work and are left out.
	 * @return the summary for the row of this entry
	 */
	public synchronized ConfirmationSummary summary() {
		long version = this.watcher.current().version();
		List<AwaitedProcess> behind = new ArrayList<>();
		this.connections
			.forEach((name, connection) -> addIfBehind(behind, name, connection.confirmedVersion(), version));
		this.disconnectedAgents.forEach((name, agent) -> addIfBehind(behind, name, agent.version(), version));
		behind.sort(Comparator.comparingLong(AwaitedProcess::version).thenComparing(AwaitedProcess::name));
		return new ConfirmationSummary(version, lowestVersion(),
				behind.subList(0, Math.min(behind.size(), ConfirmationSummary.MAXIMUM_AWAITED)));
	}

	private static void addIfBehind(List<AwaitedProcess> behind, String name, long confirmed, long version) {
		if (confirmed > 0 && confirmed < version) {
			behind.add(new AwaitedProcess("agent", name, confirmed));
		}
	}

	private record DisconnectedAgent(long version, long disconnectedAtNanos) {
	}

}
