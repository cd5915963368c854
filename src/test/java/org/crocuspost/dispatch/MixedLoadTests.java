package org.crocuspost.dispatch;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays services, short jobs and fillers on a large fleet by seed.
 */
class MixedLoadTests {

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void report(long seed) {
		MixedLoadSimulation.Result result = new MixedLoadSimulation(seed, MixedLoadSimulation.Load.LARGE)
			.run(Duration.ofSeconds(34));
		System.out.println("RESULT " + seed + " " + result);
		assertThat(result.runs()).isPositive();
	}

}
