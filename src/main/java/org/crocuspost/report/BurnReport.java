package org.crocuspost.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.crocuspost.configuration.ServiceObjective;

/**
 * Error budget burn of one service.
 *
 * @param service the name of the service
 * @param objective the objective of the service
 * @param alert the urgency of the burn
 * @param windows the burn over several windows, shortest first
 * @param availabilityBudgetLeft the unused fraction of the availability budget for the
 * time since counting began, or for the last {@link ServiceLevelHistory#RETENTION} if
 * that is shorter; negative if more than the budget is used
 * @param latencyBudgetLeft the unused fraction of the latency budget for the same time
 * @param median the median latency of the last hour
 * @param ninetyNinth the 99th percentile of latency of the last hour
 * @param minutes the counts for each minute
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
		BurnWindow retained = BurnWindow.of(ServiceLevelHistory.RETENTION, objective, minutes, nowMinute);
		return new BurnReport(service, objective, BurnAlert.of(windows), windows, 1 - retained.availabilityBurn(),
				1 - retained.latencyBurn(), median, ninetyNinth, minutes);
	}

	/**
	 * Adds the counts of another entry. Percentiles cannot be added, so the larger one is
	 * kept.
	 * @param other the report of the other entry
	 * @return the report for both entries
	 */
	public BurnReport plus(BurnReport other) {
		TreeMap<Long, MinuteCounts> sumsByMinute = new TreeMap<>();
		this.minutes.forEach((counts) -> sumsByMinute.merge(counts.minute(), counts, MinuteCounts::plus));
		other.minutes.forEach((counts) -> sumsByMinute.merge(counts.minute(), counts, MinuteCounts::plus));
		long nowMinute = sumsByMinute.isEmpty() ? 0 : sumsByMinute.lastKey();
		return of(this.service, this.objective, new ArrayList<>(sumsByMinute.values()), nowMinute,
				max(this.median, other.median), max(this.ninetyNinth, other.ninetyNinth));
	}

	private static Duration max(Duration left, Duration right) {
		return (left.compareTo(right) >= 0) ? left : right;
	}

}
