package org.crocuspost.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

import io.netty.channel.EventLoopGroup;
import org.crocuspost.admission.AdmissionController;
import org.crocuspost.admission.AdmissionSettings;
import org.crocuspost.admission.RatpackEndpointClient;
import org.crocuspost.peer.PeerConnector;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerLink;
import org.crocuspost.peer.PeerSettings;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;

/**
 * Runs one agent on loopback sockets.
 */
final class LoopbackAgent {

	final AdmissionController admission;

	private final ExecController controller = new DefaultExecController(1);

	private final List<PeerLink> links;

	LoopbackAgent(RequestPathFixture fixture, EventLoopGroup group, String name, String domain, URI endpoint,
			List<InetSocketAddress> entries) {
		String incarnation = name + "-" + fixture.clock.nanoTime();
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, name, incarnation, domain);
		AdmissionSettings settings = AdmissionSettings.of(name, RequestPathFixture.SERVICE, endpoint, 8, 64);
		this.admission = new AdmissionController(settings, incarnation,
				new RatpackEndpointClient(settings, this.controller), fixture.clock, fixture.timer);
		PeerConnector connector = new PeerConnector(group, PeerSettings.of(self, RequestPathFixture.SECRET),
				this.admission, fixture.timer);
		this.links = entries.stream().map((entry) -> connector.connect(entry)).toList();
	}

	/**
	 * Simulates a crash: closes the connections without a message to the peers.
	 */
	void kill() {
		this.links.forEach(PeerLink::close);
	}

	void close() {
		kill();
		this.admission.close();
		this.controller.close();
	}

}
