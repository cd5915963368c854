package org.crocuspost.peer;

/**
 * Side of a connection.
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

	ConnectionSide other() {
		return (this == DIALER) ? ACCEPTOR : DIALER;
	}

}
