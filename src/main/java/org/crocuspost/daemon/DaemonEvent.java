package org.crocuspost.daemon;

import org.crocuspost.log.LogEvent;

/**
 * Events in the life of a daemon.
 */
public enum DaemonEvent implements LogEvent {

	/**
	 * The daemon is ready for work; fields give its addresses.
	 */
	READY,

	/**
	 * The daemon was asked to stop and finishes what is in flight.
	 */
	STOPPING,

	/**
	 * The daemon has finished and ends.
	 */
	STOPPED

}
