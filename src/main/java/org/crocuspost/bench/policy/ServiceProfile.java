package org.crocuspost.bench.policy;

import java.time.Duration;

import org.crocuspost.configuration.ServiceObjective;

/**
 * A service of the benchmark.
 *
 * @param name the name
 * @param medianLatency the median latency without load and without batch work
 * @param objective what the service promises
 * @param peakUtilization the share of its slots in use at the peak
 * @param peakRequests the requests a second on one worker at the peak
 */
public record ServiceProfile(String name, Duration medianLatency, ServiceObjective objective, double peakUtilization,
		double peakRequests) {
}
