package org.crocuspost.routing;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointHealthTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final EndpointHealth health = new EndpointHealth(this.time);

	private void recordFailures(int times) {
		for (int count = 0; count < times; count++) {
			this.health.recordFailure();
		}
	}

	@Test
	void onlyConsecutiveFailuresEject() {
		recordFailures(4);
		this.health.recordSuccess();
		recordFailures(4);
		assertThat(this.health.state()).isEqualTo(HealthState.HEALTHY);
		recordFailures(1);
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
	}

	@Test
	void ejectedEndpointRecoversAfterSuccessesOnProbation() {
		recordFailures(5);
		this.time.advance(Duration.ofMillis(999));
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.health.state()).isEqualTo(HealthState.PROBATION);
		this.health.recordSuccess();
		this.health.recordSuccess();
		this.health.recordSuccess();
		assertThat(this.health.state()).isEqualTo(HealthState.HEALTHY);
		assertThat(this.health.slowStartWeight()).isLessThan(0.2);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.health.slowStartWeight()).isEqualTo(1);
	}

	@Test
	void failureOnProbationDoublesTheEjectionTime() {
		recordFailures(5);
		this.time.advance(Duration.ofSeconds(1));
		recordFailures(1);
		this.time.advance(Duration.ofMillis(1999));
		assertThat(this.health.state()).isEqualTo(HealthState.EJECTED);
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.health.state()).isEqualTo(HealthState.PROBATION);
	}

}
