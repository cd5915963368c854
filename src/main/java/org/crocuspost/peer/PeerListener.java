package org.crocuspost.peer;

import org.crocuspost.wire.Frame;

/**
 * Is told what happens on connections to other processes. Called on network threads, so
 * an implementation must not block.
 */
public interface PeerListener {

	/**
	 * A connection is ready for frames.
	 * @param peer the connection
	 */
	void connected(Peer peer);

	/**
	 * A frame arrived that does not answer a call.
	 * @param peer the connection
	 * @param frame the frame; an answer to it carries the same correlation
	 */
	void received(Peer peer, Frame frame);

	/**
	 * A connection that was ready is closed.
	 * @param peer the connection
	 */
	void disconnected(Peer peer);

}
