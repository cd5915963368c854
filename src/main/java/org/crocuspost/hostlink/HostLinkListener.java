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
	 * Called when a report has arrived.
	 * @param report the report
	 */
	void reportReceived(HostReport report);

}
