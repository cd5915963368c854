package org.crocuspost.hostlink;

import java.net.InetSocketAddress;

import org.crocuspost.wire.LeaderHello;

/**
 * Creates the connections of a leader to the agents of hosts.
 */
@FunctionalInterface
public interface HostConnector {

	/**
	 * Creates a connection, which connects after {@link HostConnection#open()}.
	 * @param host the name of the host
	 * @param address the address on which the agent listens
	 * @param hello the first message of each connection, which carries the epoch of the
	 * leader
	 * @param listener receives connection changes and reports
	 * @return the connection
	 */
	HostConnection connect(String host, InetSocketAddress address, LeaderHello hello, HostLinkListener listener);

}
