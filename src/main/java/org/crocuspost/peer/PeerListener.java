package org.crocuspost.peer;

import org.crocuspost.wire.Frame;

/**
 * Listener for events on connections to other processes. It is called on network threads,
 * so an implementation must not block.
 */
public interface PeerListener {

	/**
	 * Called when the handshake of a connection is complete.
	 * @param peer the connection
	 */
	void connected(Peer peer);

	/**
	 * Called when a frame arrives that does not answer a call.
	 * @param peer the connection
	 * @param frame the frame; an answer to it carries the same correlation
	 */
	void received(Peer peer, Frame frame);

	/**
	 * Called when a connection whose handshake was complete is closed.
	 * @param peer the connection
	 */
	void disconnected(Peer peer);

}
