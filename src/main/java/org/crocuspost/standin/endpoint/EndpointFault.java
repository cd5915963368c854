package org.crocuspost.standin.endpoint;

/**
 * Fault that an endpoint stand-in simulates.
 */
public enum EndpointFault {

	/**
	 * No fault.
	 */
	NONE,

	/**
	 * Executes the request and returns status 500 after the service time.
	 */
	ERROR,

	/**
	 * Executes the request and closes the connection before the end of the response body.
	 */
	TRUNCATED,

	/**
	 * Resets the connection when a request has arrived, without executing it.
	 */
	RESET_BEFORE,

	/**
	 * Executes the request and resets the connection instead of sending a response.
	 */
	RESET_DURING,

	/**
	 * Executes the request, sends the response and resets the connection.
	 */
	RESET_AFTER,

	/**
	 * Executes the request and never sends a response.
	 */
	SILENT,

	/**
	 * Executes the request and sends the response to another request.
	 */
	CROSSED

}
