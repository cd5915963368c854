package org.crocuspost.configuration;

import java.time.Duration;
import java.util.Set;

/**
 * A latency-critical service.
 *
 * @param name the name
 * @param match which requests belong to the service
 * @param objective what the service promises to its callers
 * @param priority requests with a lower number are refused last when there is no room for
 * all; 0 to 9
 * @param timeout how long a request may take if its caller states no deadline
 * @param idempotentMethods HTTP methods whose requests may run more than once
 */
public record ServiceSpecification(String name, ServiceMatch match, ServiceObjective objective, int priority,
		Duration timeout, Set<String> idempotentMethods) {

	/**
	 * HTTP methods that are idempotent unless a note says otherwise.
	 */
	public static final Set<String> DEFAULT_IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

	public ServiceSpecification {
		idempotentMethods = Set.copyOf(idempotentMethods);
	}

	/**
	 * Says whether a request may run more than once.
	 * @param method the HTTP method
	 * @return true if the method is idempotent
	 */
	public boolean isIdempotent(String method) {
		return this.idempotentMethods.contains(method);
	}

}
