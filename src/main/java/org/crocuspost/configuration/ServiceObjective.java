package org.crocuspost.configuration;

import java.time.Duration;

/**
 * Declares the service-level objective of a service.
 *
 * @param latency the maximum latency of a request that counts as good
 * @param latencyQuantile the fraction of requests that must be answered within the
 * latency, for example 0.99
 * @param availability the fraction of requests that must be answered at all, for example
 * 0.999
 */
public record ServiceObjective(Duration latency, double latencyQuantile, double availability) {
}
