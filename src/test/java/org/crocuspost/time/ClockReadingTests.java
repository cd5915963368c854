package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the age of a reading is never too small.
 */
class ClockReadingTests {

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	@ParameterizedTest
	@CsvSource({ "0, 0, 0", "500, 0, 500", "500, 4000, 4500", "500, -4000, 500", "0, 4000, 4000", "5000, -4000, 5000" })
	void ageIsTheLongerTime(long monotonicMillis, long wallClockShiftMillis, long ageMillis) {
		ClockReading reading = ClockReading.of(this.time);
		this.time.advance(Duration.ofMillis(monotonicMillis));
		this.time.shiftWallClock(Duration.ofMillis(wallClockShiftMillis));
		assertThat(reading.age(this.time)).isEqualTo(Duration.ofMillis(ageMillis));
	}

}
