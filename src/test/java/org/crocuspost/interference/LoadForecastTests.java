package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadForecastTests {

	private static final Instant MIDNIGHT_IN_BANGKOK = Instant.parse("2026-01-04T17:00:00Z");

	private final LoadForecast forecast = new LoadForecast(Duration.ofMinutes(15), ZoneId.of("Asia/Bangkok"));

	@Test
	void morningPeakOfYesterdayIsForecastForTasksThatRunIntoIt() {
		for (int minute = 0; minute <= 24 * 60; minute++) {
			this.forecast.observe(afterMidnight(minute), (minute >= 7 * 60 && minute < 8 * 60) ? 50 : 5);
		}
		Instant fiveOClock = afterMidnight(29 * 60);
		assertThat(this.forecast.peak(fiveOClock, Duration.ofHours(1))).isEqualTo(5);
		assertThat(this.forecast.peak(fiveOClock, Duration.ofHours(3))).isEqualTo(50);
	}

	@Test
	void withoutHistoryThePresentLoadIsTheForecast() {
		this.forecast.observe(MIDNIGHT_IN_BANGKOK, 8);
		assertThat(this.forecast.peak(MIDNIGHT_IN_BANGKOK, Duration.ofHours(12))).isEqualTo(8);
	}

	private static Instant afterMidnight(int minutes) {
		return MIDNIGHT_IN_BANGKOK.plus(Duration.ofMinutes(minutes));
	}

}
