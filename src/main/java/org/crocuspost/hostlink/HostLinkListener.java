package org.crocuspost.hostlink;

import org.crocuspost.wire.HostReport;

/**
 * Learns what happens on the leader's connections to hosts.
 */
public interface HostLinkListener {

	/**
	 * A connection was opened or lost.
	 * @param host the name of the host
	 * @param open whether it is open
	 */
	void connected(String host, boolean open);

	/**
	 * A report has arrived.
	 * @param report the report
	 */
	void reported(HostReport report);

}
