package org.crocuspost.routing;

/**
 * State of the circuit breaker of an endpoint.
 */
public enum HealthState {

	/**
	 * The endpoint is sent requests.
	 */
	HEALTHY,

	/**
	 * The endpoint failed too many times in a row, or once on probation, and is sent no
	 * requests until the ejection expires.
	 */
	EJECTED,

	/**
	 * The ejection has expired; the endpoint is sent one request at a time.
	 */
	PROBATION

}
