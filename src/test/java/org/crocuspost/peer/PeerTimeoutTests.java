package org.crocuspost.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.Stream;

import io.netty.channel.embedded.EmbeddedChannel;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.Pong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTimeoutTests {

	private static final Duration STEP = Duration.ofMillis(100);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	static Stream<TimeoutCase> cases() {
		return Stream.of(new TimeoutCase("no frame for 2 s", Duration.ofMillis(2000), Duration.ofMinutes(1), false),
				new TimeoutCase("no frame for 1.5 s", Duration.ofMillis(1500), Duration.ofMinutes(1), true),
				new TimeoutCase("a frame every second", Duration.ofSeconds(10), Duration.ofSeconds(1), true),
				new TimeoutCase("a frame every 2 s", Duration.ofSeconds(10), Duration.ofSeconds(2), false));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("cases")
	void connectionIsClosedAfterTooManyIntervalsWithoutFrame(TimeoutCase timeoutCase) {
		EmbeddedChannel dialer = new EmbeddedChannel(handler(ConnectionSide.DIALER));
		EmbeddedChannel acceptor = new EmbeddedChannel(handler(ConnectionSide.ACCEPTOR));
		for (int round = 0; round < 2; round++) {
			transferFrames(dialer, acceptor);
			transferFrames(acceptor, dialer);
		}
		for (Duration now = STEP; now.compareTo(timeoutCase.duration()) <= 0; now = now.plus(STEP)) {
			this.time.advance(STEP);
			dialer.runPendingTasks();
			if (now.toMillis() % timeoutCase.frameInterval().toMillis() == 0 && dialer.isActive()) {
				dialer.writeInbound(Frame.newBuilder().setPong(Pong.getDefaultInstance()).build());
			}
		}
		assertThat(dialer.isActive()).isEqualTo(timeoutCase.open());
	}

	private PeerChannelHandler handler(ConnectionSide side) {
		PeerIdentity self = new PeerIdentity(PeerIdentity.Role.AGENT, side.name(), "1", "domain");
		PeerSettings settings = PeerSettings.of(self, new DeploymentSecret("secret"));
		return new PeerChannelHandler(settings, new CompositePeerListener(java.util.List.of()), this.time, side);
	}

	private static void transferFrames(EmbeddedChannel from, EmbeddedChannel to) {
		for (Frame frame = from.readOutbound(); frame != null; frame = from.readOutbound()) {
			to.writeInbound(frame);
		}
	}

	record TimeoutCase(String description, Duration duration, Duration frameInterval, boolean open) {

		@Override
		public String toString() {
			return this.description;
		}

	}

}
