package org.crocuspost.rows;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how many rows are requested at once. Guards against a table that can never be
 * read since the same number of rows times out again and again.
 */
class ScanSizeTests {

	/**
	 * Each outcome of a round is the time of its answers in milliseconds, or "x" for a
	 * failure.
	 */
	@ParameterizedTest
	@CsvSource({ "4000, '', 500", "4000, x, 250", "4000, x x x, 62", "4000, x x x x x x x x, 1",
			"4000, x x x x x x x x x x x, 1", "4000, 20, 2000", "4000, 20 20, 4000", "4000, 325, 2000",
			"4000, 326, 1000", "4000, 650, 1000", "4000, 651, 500", "4000, 1500, 500", "4000, x 20, 1000",
			"4000, x x x x x x x x 20 20 20, 64", "500, 20 20, 500", "300, '', 300", "2, x x 600, 2" })
	void rowsFollowOutcomes(int maximumRows, String outcomes, int expected) {
		ScanSize size = new ScanSize(maximumRows);
		for (String outcome : outcomes.split(" ")) {
			if (outcome.equals("x")) {
				size.failed();
			}
			else if (!outcome.isEmpty()) {
				size.answered(Duration.ofMillis(Long.parseLong(outcome)));
			}
		}
		assertThat(size.rows()).isEqualTo(expected);
	}

}
