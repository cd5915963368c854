package org.crocuspost.hostlink;

import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;

/**
 * Learns what the leader wants.
 */
public interface LeaderPortListener {

	/**
	 * A leader has connected.
	 * @param hello its greeting
	 */
	void helloReceived(LeaderHello hello);

	/**
	 * The leader has sent a message.
	 * @param message the message
	 */
	void messageReceived(LeaderMessage message);

	/**
	 * The connection to the leader is lost.
	 */
	void connectionLost();

}
