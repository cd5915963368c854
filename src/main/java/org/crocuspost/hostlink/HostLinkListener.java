package org.crocuspost.hostlink;

import org.crocuspost.wire.HostReport;

/**
 * Receives reports and connection changes from the leader's connections to hosts.
 */
public interface HostLinkListener {

	/**
	 * Called when a connection has been opened or lost.
	 * @param host the name of the host
	 * @param open whether the connection is open
	 */
	void connectionChanged(String host, boolean open);

	/**
	 * Called before a connection is closed because of a message that cannot be processed
	 * or because of a network error.
	 * @param host the name of the host
	 * @param reason what failed
	 */
	void connectionFailed(String host, String reason);

	/**
	 * Called when another host answers at the address of a host, which is then gone or
	 * has another address.
	 * @param host the name of the host
	 * @param answering the name of the host that answers
	 */
	void addressReused(String host, String answering);

	/**
	 * Called when a report has arrived.
	 * @param report the whole report
	 */
	void reportReceived(HostReport report);

}
