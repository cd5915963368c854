package org.crocuspost.entry;

import org.crocuspost.log.LogEvent;

/**
 * Log events of the HTTP server for callers.
 */
public enum EntryEvent implements LogEvent {

	/**
	 * An exception was thrown while a request was handled.
	 */
	CALLER_REQUEST_FAILED,

	/**
	 * The response to a caller states that its request may have run.
	 */
	REQUEST_UNCERTAIN

}
