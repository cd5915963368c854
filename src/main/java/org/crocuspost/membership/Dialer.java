package org.crocuspost.membership;

import java.net.InetSocketAddress;

import org.crocuspost.time.Cancellable;

/**
 * Opens connections and keeps them open.
 */
@FunctionalInterface
public interface Dialer {

	/**
	 * Opens a connection and keeps it open.
	 * @param address the address of the other process
	 * @return closes the connection and dials no more
	 */
	Cancellable dial(InetSocketAddress address);

}
