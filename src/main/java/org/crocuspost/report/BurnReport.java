package org.crocuspost.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.crocuspost.configuration.ServiceObjective;

/**
 * Service-level burn of one service.
 *
 * @param service the service
 * @param objective its objective
 * @param alert how urgent the burn is
 * @param windows the burn over several windows, shortest first
 * @param availabilityBudgetLeft the share of the budget for availability that is left of
 * the time since counting began, at most {@link ServiceLevelHistory#KEPT}; negative if
 * overdrawn
 * @param latencyBudgetLeft the same for latency
 * @param median the median latency of the last hour
 * @param ninetyNinth the 99th percentile of latency of the last hour
 * @param minutes the counts by minute
 */
public record BurnReport(String service, ServiceObjective objective, BurnAlert alert, List<BurnWindow> windows,
		double availabilityBudgetLeft, double latencyBudgetLeft, Duration median, Duration ninetyNinth,
		List<MinuteCounts> minutes) {

	public BurnReport {
		windows = List.copyOf(windows);
		minutes = List.copyOf(minutes);
	}

	static BurnReport of(String service, ServiceObjective objective, List<MinuteCounts> minutes, long nowMinute,
			Duration median, Duration ninetyNinth) {
		List<BurnWindow> windows = BurnAlert.WINDOWS.stream()
			.map((length) -> BurnWindow.of(length, objective, minutes, nowMinute))
			.toList();
		BurnWindow all = BurnWindow.of(ServiceLevelHistory.KEPT, objective, minutes, nowMinute);
		return new BurnReport(service, objective, BurnAlert.of(windows), windows, 1 - all.availabilityBurn(),
				1 - all.latencyBurn(), median, ninetyNinth, minutes);
	}

	/**
	 * Adds what another entry has counted. Percentiles cannot be added: the larger is
	 * kept.
	 * @param other the report of the other entry
	 * @return the report for both entries
	 */
	public BurnReport plus(BurnReport other) {
		TreeMap<Long, MinuteCounts> sums = new TreeMap<>();
		this.minutes.forEach((counts) -> sums.merge(counts.minute(), counts, MinuteCounts::plus));
		other.minutes.forEach((counts) -> sums.merge(counts.minute(), counts, MinuteCounts::plus));
		long nowMinute = sums.isEmpty() ? 0 : sums.lastKey();
		return of(this.service, this.objective, new ArrayList<>(sums.values()), nowMinute,
				max(this.median, other.median), max(this.ninetyNinth, other.ninetyNinth));
	}

	private static Duration max(Duration left, Duration right) {
		return (left.compareTo(right) >= 0) ? left : right;
	}

}
