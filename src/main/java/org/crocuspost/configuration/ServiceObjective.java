package org.crocuspost.configuration;

import java.time.Duration;

/**
 * Service-level objective.
 *
 * @param latency the time within which a request counts as good
 * @param latencyQuantile the share of requests that must be answered within the latency,
 * for example 0.99
 * @param availability the share of requests that must be answered at all, for example
 * 0.999
 */
public record ServiceObjective(Duration latency, double latencyQuantile, double availability) {
}
