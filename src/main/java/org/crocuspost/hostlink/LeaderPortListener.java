package org.crocuspost.hostlink;

import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;

/**
 * Receives the leader's messages and connection changes.
 */
public interface LeaderPortListener {

	/**
	 * Called when a leader has connected and sent its hello.
	 * @param hello the hello, which carries the epoch of the leader
	 */
	void helloReceived(LeaderHello hello);

	/**
	 * Called when the leader has sent a message other than its hello.
	 * @param message the message
	 */
	void messageReceived(LeaderMessage message);

	/**
	 * Called before a connection is closed because of a message that cannot be processed
	 * or because of a network error.
	 * @param reason what failed
	 */
	void connectionFailed(String reason);

	/**
	 * Called when the connection to the leader has been lost.
	 */
	void connectionLost();

}
