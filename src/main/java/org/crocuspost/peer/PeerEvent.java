package org.crocuspost.peer;

import org.crocuspost.log.LogEvent;

/**
 * Catalogue of the events of connections between processes.
 */
public enum PeerEvent implements LogEvent {

	/**
	 * A connection is ready for frames.
	 */
	PEER_CONNECTED,

	/**
	 * A connection that was ready is closed.
	 */
	PEER_DISCONNECTED,

	/**
	 * Nothing was heard on a connection for too long, so it is closed.
	 */
	PEER_SILENT,

	/**
	 * The other end did not prove in time that it knows the secret, or sent what is no
	 * frame.
	 */
	PEER_REJECTED,

	/**
	 * A listener threw an exception.
	 */
	PEER_LISTENER_FAILED

}
