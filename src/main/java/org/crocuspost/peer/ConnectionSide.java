package org.crocuspost.peer;

/**
 * Distinguishes the two ends of a connection.
 */
enum ConnectionSide {

	/**
	 * The end that opened the connection.
	 */
	DIALER,

	/**
	 * The end that accepted the connection.
	 */
	ACCEPTOR;

	ConnectionSide opposite() {
		return (this == DIALER) ? ACCEPTOR : DIALER;
	}

}
