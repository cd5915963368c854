package org.crocuspost.report;

import java.time.Duration;
import java.util.List;

import org.crocuspost.configuration.ServiceObjective;

/**
 * Burn of the error budget over a time. A burn rate of 1 uses up exactly the budget; at 2
 * it is gone after half the time.
 *
 * @param length the length of the window
 * @param total all requests
 * @param unavailable requests that did not get the service's answer
 * @param slow requests that got an answer later than the objective
 * @param availabilityBurn the burn rate of the objective for availability
 * @param latencyBurn the burn rate of the objective for latency
 */
public record BurnWindow(Duration length, long total, long unavailable, long slow, double availabilityBurn,
		double latencyBurn) {

	static BurnWindow of(Duration length, ServiceObjective objective, List<MinuteCounts> minutes, long nowMinute) {
		long first = nowMinute - length.toMinutes();
		MinuteCounts sum = minutes.stream()
			.filter((counts) -> counts.minute() > first)
			.reduce(new MinuteCounts(nowMinute, 0, 0, 0), (left, right) -> left.plus(right));
		return new BurnWindow(length, sum.total(), sum.unavailable(), sum.slow(),
				rate(sum.unavailable(), sum.total(), objective.availability()),
				rate(sum.slow(), sum.total() - sum.unavailable(), objective.latencyQuantile()));
	}

	private static double rate(long bad, long total, double objective) {
		return (total == 0) ? 0 : ((double) bad / total) / (1 - objective);
	}

}
