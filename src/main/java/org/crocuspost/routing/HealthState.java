package org.crocuspost.routing;

/**
 * Whether an endpoint is given requests.
 */
public enum HealthState {

	/**
	 * The endpoint is given requests.
	 */
	HEALTHY,

	/**
	 * The endpoint failed too often and is given no requests for some time.
	 */
	EJECTED,

	/**
	 * The time of the ejection is over; the endpoint is given one request at a time.
	 */
	PROBATION

}
