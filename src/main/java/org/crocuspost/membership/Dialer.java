package org.crocuspost.membership;

import java.net.InetSocketAddress;

import org.crocuspost.time.Cancellable;

/**
 * Opens connections that are reopened whenever they end.
 */
@FunctionalInterface
public interface Dialer {

	/**
	 * Opens a connection and reopens it whenever it ends.
	 * @param address the address of the other process
	 * @return a handle that closes the connection and ends the reconnecting
	 */
	Cancellable dial(InetSocketAddress address);

}
