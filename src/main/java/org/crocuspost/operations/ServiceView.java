package org.crocuspost.operations;

import java.time.Duration;

import org.crocuspost.configuration.ServiceSpecification;

/**
 * A service as it was declared.
 *
 * @param name the name
 * @param host the host that its requests name
 * @param pathPrefix the prefix of its paths
 * @param priority the priority
 * @param latency the objective for latency
 * @param latencyQuantile the share of requests that the objective covers
 * @param availability the objective for availability
 * @param timeout how long a request may take
 */
public record ServiceView(String name, String host, String pathPrefix, int priority, Duration latency,
		double latencyQuantile, double availability, Duration timeout) {

	static ServiceView of(ServiceSpecification service) {
		return new ServiceView(service.name(), service.match().host(), service.match().pathPrefix(), service.priority(),
				service.objective().latency(), service.objective().latencyQuantile(),
				service.objective().availability(), service.timeout());
	}

}
