package org.crocuspost.operations;

import java.time.Duration;

import org.crocuspost.configuration.ServiceSpecification;

/**
 * Service as declared in the configuration.
 *
 * @param name the name
 * @param host the host name of its requests
 * @param pathPrefix the prefix of the paths of its requests
 * @param priority the priority
 * @param latency the latency objective
 * @param latencyQuantile the share of requests that must meet the latency objective, from
 * 0 to 1
 * @param availability the availability objective, as a share from 0 to 1
 * @param timeout the maximum duration of a request whose caller states no deadline
 */
public record ServiceView(String name, String host, String pathPrefix, int priority, Duration latency,
		double latencyQuantile, double availability, Duration timeout) {

	static ServiceView of(ServiceSpecification service) {
		return new ServiceView(service.name(), service.match().host(), service.match().pathPrefix(), service.priority(),
				service.objective().latency(), service.objective().latencyQuantile(),
				service.objective().availability(), service.timeout());
	}

}
