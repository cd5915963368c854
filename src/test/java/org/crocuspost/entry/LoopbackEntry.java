package org.crocuspost.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletionStage;

import io.netty.channel.EventLoopGroup;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.peer.PeerServer;
import org.crocuspost.peer.PeerSettings;
import org.crocuspost.retry.RequestRunner;
import org.crocuspost.retry.RetrySettings;
import org.crocuspost.routing.EndpointDirectory;
import org.crocuspost.routing.ExpectedTimePolicy;

/**
 * Runs one entry on loopback sockets.
 */
final class LoopbackEntry {

	final EndpointDirectory directory;

	private final PeerServer peers;

	private final CallerServer callers;

	LoopbackEntry(RequestPathFixture fixture, EventLoopGroup group, String name) {
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.ENTRY, name, name + "-1", "bkk-a");
		this.directory = new EndpointDirectory(fixture.configurations(), fixture.clock, fixture.timer);
		this.peers = PeerServer.start(RequestPathFixture.loopback(), group,
				PeerSettings.of(self, RequestPathFixture.SECRET), this.directory, fixture.timer);
		RequestRunner runner = new RequestRunner(this.directory,
				new ExpectedTimePolicy("bkk-a", Duration.ofMillis(2), new Random(1)), RetrySettings.DEFAULT,
				fixture.clock, fixture.timer);
		this.callers = CallerServer.start(CallerSettings.of(RequestPathFixture.loopback()), self.incarnation(),
				fixture.configurations(), runner, (service, outcome, latency) -> {
				}, fixture.clock, fixture.timer);
	}

	InetSocketAddress peerAddress() {
		return this.peers.address();
	}

	URI callerAddress() {
		return RequestPathFixture.http(this.callers.address());
	}

	boolean hasEndpoint(String endpointId) {
		return this.directory.endpoints().stream().anyMatch((endpoint) -> endpoint.endpointId().equals(endpointId));
	}

	CompletionStage<Void> drain() {
		return this.callers.drain();
	}

	void close() {
		this.callers.close();
		this.peers.close();
	}

}
