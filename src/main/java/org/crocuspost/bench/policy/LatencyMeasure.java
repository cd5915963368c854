package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Latencies of all services of a run.
 */
final class LatencyMeasure {

	private static final int DIGITS = 3;

	private static final double PERCENTILE = 99;

	private final Map<String, Histogram> all = new HashMap<>();

	private final Map<String, Histogram> peak = new HashMap<>();

	private long requests;

	private long good;

	private long domainRequests;

	private long domainGood;

	void record(ServiceProfile service, Duration latency, boolean atPeak, boolean inDomainWindow) {
		long micros = Math.max(1, latency.toNanos() / 1000);
		this.all.computeIfAbsent(service.name(), (name) -> new Histogram(DIGITS)).recordValue(micros);
		if (atPeak) {
			this.peak.computeIfAbsent(service.name(), (name) -> new Histogram(DIGITS)).recordValue(micros);
		}
		boolean within = latency.compareTo(service.objective().latency()) <= 0;
		this.requests++;
		this.good += within ? 1 : 0;
		if (inDomainWindow) {
			this.domainRequests++;
			this.domainGood += within ? 1 : 0;
		}
	}

	double tailMilliseconds() {
		return mean(this.all);
	}

	double peakTailMilliseconds() {
		return mean(this.peak);
	}

	double goodShare() {
		return (double) this.good / this.requests;
	}

	double domainGoodShare() {
		return (double) this.domainGood / this.domainRequests;
	}

	private static double mean(Map<String, Histogram> histograms) {
		return histograms.values()
			.stream()
			.mapToDouble((histogram) -> histogram.getValueAtPercentile(PERCENTILE) / 1000.0)
			.average()
			.orElse(0);
	}

}
