package org.crocuspost.configuration;

import java.time.Duration;
import java.util.Set;

/**
 * Declares a latency-critical service.
 *
 * @param name the name
 * @param match selects the requests of the service
 * @param objective the service-level objective
 * @param priority the priority from 0 to 9; under overload, requests with a lower number
 * are refused last
 * @param timeout the maximum duration of a request whose caller sets no deadline
 * @param idempotentMethods the HTTP methods whose requests may run more than once
 */
public record ServiceSpecification(String name, ServiceMatch match, ServiceObjective objective, int priority,
		Duration timeout, Set<String> idempotentMethods) {

	/**
	 * The HTTP methods that are idempotent unless a release note declares others.
	 */
	public static final Set<String> DEFAULT_IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

	public ServiceSpecification {
		idempotentMethods = Set.copyOf(idempotentMethods);
	}

	/**
	 * Returns whether a request may run more than once.
	 * @param method the HTTP method
	 * @return true if the method is idempotent
	 */
	public boolean isIdempotent(String method) {
		return this.idempotentMethods.contains(method);
	}

}
