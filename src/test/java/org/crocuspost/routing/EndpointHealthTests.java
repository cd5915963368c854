package org.crocuspost.routing;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointHealthTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final EndpointHealth health = new EndpointHealth(this.time);

	private void fail(int times) {
		for (int count = 0; count < times; count++) {
			this.health.failed();
		}
	}

	@Test
	void failuresInARowEjectAndSuccessesBetweenThemDoNot() {
		fail(4);
		this.health.succeeded();
		fail(4);
		assertThat(this.health.state()).isEqualTo(HealthState.HEALTHY);
		fail(1);
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
	}

	@Test
	void anEjectedEndpointIsTriedAgainAndReturnsAfterSuccesses() {
		fail(5);
		this.time.advance(Duration.ofMillis(999));
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.health.state()).isEqualTo(HealthState.PROBATION);
		this.health.succeeded();
		this.health.succeeded();
		this.health.succeeded();
		assertThat(this.health.state()).isEqualTo(HealthState.HEALTHY);
		assertThat(this.health.startWeight()).isLessThan(0.2);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.health.startWeight()).isEqualTo(1);
	}

	@Test
	void aFailureOnProbationDoublesTheEjection() {
		fail(5);
		this.time.advance(Duration.ofSeconds(1));
		fail(1);
		this.time.advance(Duration.ofMillis(1999));
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.health.state()).isEqualTo(HealthState.PROBATION);
	}

}
