package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Statistics of the request latencies of all services in a benchmark run. A request is
 * good if its latency is within the objective of the service.
 */
final class LatencyStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double TAIL_PERCENTILE = 99;

	private final Map<String, Histogram> all = new HashMap<>();

	private final Map<String, Histogram> peak = new HashMap<>();

	private long requests;

	private long good;

	private long domainWindowRequests;

	private long domainWindowGood;

	void record(ServiceProfile service, Duration latency, boolean atPeak, boolean inDomainWindow) {
		long microseconds = Math.max(1, latency.toNanos() / 1000);
		this.all.computeIfAbsent(service.name(), (name) -> new Histogram(SIGNIFICANT_DIGITS)).recordValue(microseconds);
		if (atPeak) {
			this.peak.computeIfAbsent(service.name(), (name) -> new Histogram(SIGNIFICANT_DIGITS))
				.recordValue(microseconds);
		}
		boolean withinObjective = latency.compareTo(service.objective().latency()) <= 0;
		this.requests++;
		this.good += withinObjective ? 1 : 0;
		if (inDomainWindow) {
			this.domainWindowRequests++;
			this.domainWindowGood += withinObjective ? 1 : 0;
		}
	}

	double tailMilliseconds() {
		return meanTailMilliseconds(this.all);
	}

	double peakTailMilliseconds() {
		return meanTailMilliseconds(this.peak);
	}

	double goodShare() {
		return (double) this.good / this.requests;
	}

	double domainGoodShare() {
		return (double) this.domainWindowGood / this.domainWindowRequests;
	}

	private static double meanTailMilliseconds(Map<String, Histogram> histograms) {
		return histograms.values()
			.stream()
			.mapToDouble((histogram) -> histogram.getValueAtPercentile(TAIL_PERCENTILE) / 1000.0)
			.average()
			.orElse(0);
	}

}
