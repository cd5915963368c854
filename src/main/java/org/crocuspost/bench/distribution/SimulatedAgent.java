package org.crocuspost.bench.distribution;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.channel.EventLoopGroup;
import org.crocuspost.distribution.AgentEndpoint;
import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.peer.DeploymentSecret;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.Frame;

/**
 * Simulates the part of an agent that receives the configuration and announces an
 * endpoint at the heartbeat interval.
 */
final class SimulatedAgent implements PeerListener {

	private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

	private final String name;

	private final ConfigurationReceiver receiver;

	private final TrafficMeter meter = new TrafficMeter(this);

	private final List<Peer> entries = new CopyOnWriteArrayList<>();

	private volatile long version;

	SimulatedAgent(String name, String service, Clock clock, AdoptionTimes times) {
		this.name = name;
		this.receiver = new ConfigurationReceiver(new AgentEndpoint(service, name + "-endpoint"), clock);
		this.receiver.addListener((configuration) -> {
			times.recordAdoption(this.version, configuration.version());
			this.version = configuration.version();
		});
	}

	void connect(String failureDomain, List<InetSocketAddress> addresses, EventLoopGroup group, DeploymentSecret secret,
			Timer timer) {
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, this.name, this.name, failureDomain);
		PeerConnector connector = new PeerConnector(group, PeerSettings.of(self, secret), this.meter, timer);
		addresses.forEach(connector::connect);
		timer.repeat(HEARTBEAT_INTERVAL, () -> this.entries.forEach((entry) -> entry.send(status())));
	}

	private Frame status() {
		AgentStatus.Builder status = AgentStatus.newBuilder()
			.setEndpointId(this.name + "-endpoint")
			.setService("service")
			.setWorker(this.name)
			.setRack("rack")
			.setSlots(8)
			.setAccepting(true)
			.setQueueLimit(16)
			.setServiceMicroseconds(20_000)
			.setConfigurationVersion(this.version);
		return Frame.newBuilder().setAgentStatus(status).build();
	}

	int connections() {
		return this.entries.size();
	}

	long version() {
		return this.version;
	}

	boolean allowsStarts() {
		return this.receiver.allowsTaskStarts();
	}

	TrafficMeter meter() {
		return this.meter;
	}

	@Override
	public void connected(Peer peer) {
		this.entries.add(peer);
		this.receiver.connected(peer);
	}

	@Override
	public void received(Peer peer, Frame frame) {
		this.receiver.received(peer, frame);
	}

	@Override
	public void disconnected(Peer peer) {
		this.entries.remove(peer);
		this.receiver.disconnected(peer);
	}

}
