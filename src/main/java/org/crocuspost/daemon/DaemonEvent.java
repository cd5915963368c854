package org.crocuspost.daemon;

import org.crocuspost.log.LogEvent;

/**
 * Log events for the start and the stop of a daemon.
 */
public enum DaemonEvent implements LogEvent {

	/**
	 * The daemon is ready for work. The fields contain its name and addresses.
	 */
	READY,

	/**
	 * The daemon was asked to stop and completes the work in flight.
	 */
	STOPPING,

	/**
	 * The daemon has stopped; its process exits.
	 */
	STOPPED

}
