package org.crocuspost.report;

import java.time.Duration;
import java.util.List;

import org.crocuspost.configuration.ServiceObjective;

/**
 * Error budget burn over a time window. A burn rate of 1 uses up exactly the budget; at a
 * rate of 2 the budget is used up after half the time.
 *
 * @param length the length of the window
 * @param total the number of all requests
 * @param unavailable the number of requests that did not get the service's response
 * @param slow the number of requests that got a response later than the latency objective
 * @param availabilityBurn the burn rate of the objective for availability
 * @param latencyBurn the burn rate of the objective for latency
 */
public record BurnWindow(Duration length, long total, long unavailable, long slow, double availabilityBurn,
		double latencyBurn) {

	static BurnWindow of(Duration length, ServiceObjective objective, List<MinuteCounts> minutes, long nowMinute) {
		long cutoffMinute = nowMinute - length.toMinutes();
		MinuteCounts sum = minutes.stream()
			.filter((counts) -> counts.minute() > cutoffMinute)
			.reduce(new MinuteCounts(nowMinute, 0, 0, 0), (left, right) -> left.plus(right));
		return new BurnWindow(length, sum.total(), sum.unavailable(), sum.slow(),
				burnRate(sum.unavailable(), sum.total(), objective.availability()),
				burnRate(sum.slow(), sum.total() - sum.unavailable(), objective.latencyQuantile()));
	}

	private static double burnRate(long bad, long total, double objective) {
		return (total == 0) ? 0 : ((double) bad / total) / (1 - objective);
	}

}
