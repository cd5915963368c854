package org.crocuspost.standin.endpoint;

/**
 * What an endpoint does wrong.
 */
public enum EndpointFault {

	/**
	 * Nothing.
	 */
	NONE,

	/**
	 * Runs the request and answers at once with status 500.
	 */
	ERROR,

	/**
	 * Runs the request and breaks the answer off in the body.
	 */
	TRUNCATED,

	/**
	 * Resets the connection when the head of a request arrives, without running it.
	 */
	RESET_BEFORE,

	/**
	 * Runs the request and resets the connection instead of answering.
	 */
	RESET_DURING,

	/**
	 * Runs the request, answers and resets the connection.
	 */
	RESET_AFTER,

	/**
	 * Runs the request and never answers.
	 */
	SILENT,

	/**
	 * Runs the request and answers with the answer to another request.
	 */
	CROSSED

}
