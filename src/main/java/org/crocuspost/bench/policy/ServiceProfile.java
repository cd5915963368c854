package org.crocuspost.bench.policy;

import java.time.Duration;

import org.crocuspost.configuration.ServiceObjective;

/**
 * Simulated latency-critical service.
 *
 * @param name the name
 * @param medianLatency the median latency without load and without batch tasks
 * @param objective the latency objective of the service
 * @param peakUtilization the share of its request slots in use at the peak, 0 to 1
 * @param peakRequestsPerSecond the requests per second on one worker at the peak
 */
public record ServiceProfile(String name, Duration medianLatency, ServiceObjective objective, double peakUtilization,
		double peakRequestsPerSecond) {
}
