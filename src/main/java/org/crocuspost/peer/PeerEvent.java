package org.crocuspost.peer;

import org.crocuspost.log.LogEvent;

/**
 * Log events of connections between processes.
 */
public enum PeerEvent implements LogEvent {

	/**
	 * The handshake of a connection is complete.
	 */
	PEER_CONNECTED,

	/**
	 * A connection whose handshake was complete is closed.
	 */
	PEER_DISCONNECTED,

	/**
	 * No frame arrived on a connection for too many ping intervals, so it is closed.
	 */
	PEER_SILENT,

	/**
	 * The other end did not prove in time that it has the secret, or sent data that
	 * cannot be decoded as a frame.
	 */
	PEER_REJECTED,

	/**
	 * A listener threw an exception.
	 */
	PEER_LISTENER_FAILED

}
