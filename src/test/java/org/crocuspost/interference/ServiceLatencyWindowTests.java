package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceLatencyWindowTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final ServiceLatencyWindow window = new ServiceLatencyWindow(this.time);

	@Test
	void tailOfBusyServiceCoversOnlyRecentLatencies() {
		record(1000, Duration.ofMillis(500));
		this.time.advance(ServiceLatencyWindow.RECENT_AGE.plusSeconds(1));
		record(1000, Duration.ofMillis(10));
		assertThat(this.window.tail(0.99).tail()).isEqualTo(Duration.ofMillis(10));
	}

	@Test
	void tailOfServiceWithFewRequestsCoversOlderLatencies() {
		for (int i = 0; i < 5; i++) {
			record(1, Duration.ofMillis(20));
			this.time.advance(Duration.ofSeconds(8));
		}
		assertThat(this.window.tail(0.99).samples()).isEqualTo(5);
	}

	@Test
	void latenciesBeyondTheMaximumAgeAreIgnored() {
		record(5, Duration.ofMillis(20));
		this.time.advance(ServiceLatencyWindow.MAX_AGE.plusSeconds(1));
		assertThat(this.window.tail(0.99).samples()).isZero();
	}

	@Test
	void intervalSummarizesLatenciesSinceThePreviousInterval() {
		record(3, Duration.ofSeconds(1));
		this.window.nextInterval();
		record(2, Duration.ofSeconds(2));
		LatencyInterval interval = this.window.nextInterval();
		assertThat(interval.samples()).isEqualTo(2);
		assertThat(Math.exp(interval.meanLog())).isBetween(1.999, 2.001);
		assertThat(this.window.nextInterval()).isEqualTo(LatencyInterval.EMPTY);
	}

	private void record(int count, Duration latency) {
		for (int i = 0; i < count; i++) {
			this.window.record(latency);
		}
	}

}
