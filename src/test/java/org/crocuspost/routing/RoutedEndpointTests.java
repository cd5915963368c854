package org.crocuspost.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.Frame;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RoutedEndpointTests {

	private static final int HIGHEST_PRIORITY = 0;

	private static final int LOWEST_PRIORITY = 9;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private RoutedEndpoint endpoint(int slotsUsed, int queued, int serviceMicroseconds) {
		AgentStatus status = AgentStatus.newBuilder()
			.setSlots(8)
			.setQueueLimit(16)
			.setSlotsUsed(slotsUsed)
			.setQueued(queued)
			.setServiceMicroseconds(serviceMicroseconds)
			.build();
		return new RoutedEndpoint(new UnusedPeer(), status, this.time);
	}

	@Test
	void loadIsTheSumOfOwnRequestsAndReportedRequestsOfOtherEntries() {
		RoutedEndpoint endpoint = endpoint(5, 0, 1000);
		endpoint.recordSent();
		endpoint.recordSent();
		assertThat(endpoint.load()).isEqualTo(7);
		endpoint.updateLoad(7, 0, 1000);
		assertThat(endpoint.load()).isEqualTo(7);
		endpoint.recordInconclusiveEnd();
		assertThat(endpoint.load()).isEqualTo(6);
	}

	@Test
	void reportedLoadDecaysWithoutNewReports() {
		RoutedEndpoint endpoint = endpoint(8, 16, 1000);
		assertThat(endpoint.hasFreeCapacity(HIGHEST_PRIORITY)).isFalse();
		this.time.advance(Duration.ofMillis(400));
		assertThat(endpoint.hasFreeCapacity(HIGHEST_PRIORITY)).isTrue();
	}

	@Test
	void lowerPriorityRequestsMayUseLessOfTheQueue() {
		RoutedEndpoint endpoint = endpoint(8, 8, 1000);
		assertThat(endpoint.hasFreeCapacity(HIGHEST_PRIORITY)).isTrue();
		assertThat(endpoint.hasFreeCapacity(LOWEST_PRIORITY)).isFalse();
	}

	@Test
	void slowOrLoadedOrFailingEndpointsAreExpectedToTakeLonger() {
		this.time.advance(Duration.ofSeconds(5));
		RoutedEndpoint healthy = endpoint(0, 0, 1000);
		RoutedEndpoint failing = endpoint(0, 0, 1000);
		failing.recordSent();
		failing.recordEnd(false);
		assertThat(endpoint(0, 0, 10_000).expectedNanos()).isGreaterThan(5 * healthy.expectedNanos());
		assertThat(endpoint(8, 0, 1000).expectedNanos()).isGreaterThan(healthy.expectedNanos());
		assertThat(failing.expectedNanos()).isGreaterThan(healthy.expectedNanos());
	}

	private static final class UnusedPeer implements Peer {

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity(PeerIdentity.Role.AGENT, "agent", "agent-1", "domain");
		}

		@Override
		public void send(Frame frame) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean open() {
			return true;
		}

		@Override
		public void close() {
			throw new UnsupportedOperationException();
		}

	}

}
