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
	void greeted(LeaderHello hello);

	/**
	 * The leader has sent a message.
	 * @param message the message
	 */
	void ordered(LeaderMessage message);

	/**
	 * The connection to the leader is lost.
	 */
	void lost();

}
