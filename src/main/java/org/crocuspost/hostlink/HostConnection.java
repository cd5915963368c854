package org.crocuspost.hostlink;

import org.crocuspost.wire.LeaderMessage;

/**
 * Connection of the leader to the agent of a host. It is opened again when it is lost.
 * Must be used on the event loop only.
 */
public interface HostConnection {

	/**
	 * Opens the connection. Failed attempts are repeated and a lost connection is
	 * reopened until {@link #close()}.
	 */
	void open();

	/**
	 * Sends a message if the connection is open, and drops it otherwise. A lost message
	 * needs no retry: the answer to the next report makes up for it.
	 * @param message the message
	 */
	void send(LeaderMessage message);

	/**
	 * Closes the connection if no report has arrived within the timeout. The timeout
	 * starts anew when the connection opens and with each report.
	 */
	void closeIfUnresponsive();

	/**
	 * Closes the connection permanently.
	 */
	void close();

}
