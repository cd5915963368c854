package org.crocuspost.distribution;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.json.Json;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.ConfigurationConfirmation;
import org.crocuspost.wire.ConfigurationUpdate;
import org.crocuspost.wire.Frame;

/**
 * Receives the configuration in an agent. The version only rises, whichever of its
 * entries speaks and however late.
 *
 * <p>
 * The right to start tasks ends by itself: an entry that has read the newest version a
 * short time ago renews it, and after {@link #VALIDITY} without renewal
 * {@link #allowsTaskStarts()} is false. So an agent that is cut off cannot start work on a
 * version that others have left behind. Requests are not refused then, because an outage
 * of the platform's store, in which nobody can renew, must not stop services.
 */
public final class ConfigurationReceiver implements PeerListener {

	/**
	 * Time after which a configuration that no entry renews gives no right to start
	 * tasks. Counted from the arrival of the renewal.
	 */
	public static final Duration VALIDITY = Duration.ofSeconds(10);

	private final AgentEndpoint endpoint;

	private final Clock clock;

	private final List<AgentConfigurationListener> listeners = new CopyOnWriteArrayList<>();

	private final List<Peer> entries = new CopyOnWriteArrayList<>();

	private volatile AgentConfiguration current = AgentConfiguration.NONE;

	private volatile long renewedAtNanos;

	private volatile boolean renewed;

	/**
	 * Creates the receiver.
	 * @param endpoint what the agent serves
	 * @param clock measures the time since the newest renewal
	 */
	public ConfigurationReceiver(AgentEndpoint endpoint, Clock clock) {
		this.endpoint = endpoint;
		this.clock = clock;
	}

	/**
	 * Adds a listener.
	 * @param listener is told of each newer configuration
	 */
	public void addListener(AgentConfigurationListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the newest configuration. Its version never falls.
	 * @return the configuration
	 */
	public AgentConfiguration current() {
		return this.current;
	}

	/**
	 * Says whether the agent may start a task.
	 * @return true if its failure domain is not taken out and the configuration has been
	 * renewed in time
	 */
	public boolean allowsTaskStarts() {
		return fresh() && !this.current.domainOut();
	}

	/**
	 * Says whether an entry has renewed the configuration in time.
	 * @return true if the newest renewal is younger than {@link #VALIDITY}
	 */
	public boolean fresh() {
		return this.renewed && this.clock.nanoTime() - this.renewedAtNanos < VALIDITY.toNanos();
	}

	@Override
	public synchronized void connected(Peer peer) {
		if (peer.identity().role() == PeerIdentity.Role.ENTRY) {
			this.entries.add(peer);
			send(peer, confirmation().setService(this.endpoint.service()).setEndpointId(this.endpoint.endpointId()));
		}
	}

	@Override
	public void disconnected(Peer peer) {
		this.entries.remove(peer);
	}

	@Override
	public void received(Peer peer, Frame frame) {
		if (frame.hasConfigurationUpdate()) {
			try {
				received(peer, frame.getConfigurationUpdate());
			}
			catch (UncheckedIOException ex) {
				EventLog.warn(DistributionEvent.CONFIGURATION_MALFORMED, Field.of("entry", peer.identity().name()));
			}
		}
	}

	private synchronized void received(Peer peer, ConfigurationUpdate update) {
		if (update.getVersion() > this.current.version() && usable(update)) {
			adopt(update);
			this.entries.forEach(this::confirm);
		}
		else if (update.getVersion() != this.current.version()) {
			confirm(peer);
		}
		if (update.getRenewal() && update.getVersion() == this.current.version()) {
			this.renewedAtNanos = this.clock.nanoTime();
			this.renewed = true;
		}
	}

	private boolean usable(ConfigurationUpdate update) {
		return update.getSameAsVersion() == 0 || update.getSameAsVersion() == this.current.version();
	}

	private void adopt(ConfigurationUpdate update) {
		AgentConfiguration next = (update.getSameAsVersion() == 0) ? decode(update)
				: this.current.withVersion(update.getVersion());
		this.current = next;
		EventLog.info(DistributionEvent.CONFIGURATION_ADOPTED, Field.of("version", next.version()),
				Field.of("noteId", update.getNoteId()));
		this.listeners.forEach((listener) -> listener.agentConfigurationChanged(next));
	}

	private static AgentConfiguration decode(ConfigurationUpdate update) {
		List<ServiceSpecification> services = update.getServicesList()
			.stream()
			.map((text) -> Json.read(text, ServiceSpecification.class))
			.toList();
		return new AgentConfiguration(update.getVersion(), services, Set.copyOf(update.getEndpointsWithdrawnList()),
				update.getDomainOut());
	}

	private void confirm(Peer peer) {
		send(peer, confirmation());
	}

	private ConfigurationConfirmation.Builder confirmation() {
		return ConfigurationConfirmation.newBuilder().setVersion(this.current.version());
	}

	private static void send(Peer peer, ConfigurationConfirmation.Builder confirmation) {
		peer.send(Frame.newBuilder().setConfigurationConfirmation(confirmation).build());
	}

}
