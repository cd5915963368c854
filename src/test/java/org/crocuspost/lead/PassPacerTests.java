package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PassPacerTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	/**
	 * Guards against a leader with a weak processor that makes one scheduling pass after
	 * another and reads the store's answers too late, and against a leader that stops
	 * making passes after a single long one.
	 * @param passMillis the duration of a pass
	 * @param pauseMillis the expected time until the next one
	 */
	@ParameterizedTest
	@CsvSource({ "0, 0", "1, 1", "200, 200", "900, 900", "5000, 900" })
	void nextPassIsDueAfterAPauseInProportionToTheLastOne(long passMillis, long pauseMillis) {
		PassPacer pacer = new PassPacer(this.time);
		assertThat(pacer.due()).isTrue();
		pacer.run(() -> this.time.advance(Duration.ofMillis(passMillis)));
		if (pauseMillis > 0) {
			this.time.advance(Duration.ofMillis(pauseMillis - 1));
			assertThat(pacer.due()).isFalse();
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat(pacer.due()).isTrue();
	}

}
