package org.crocuspost.entry;

import org.crocuspost.log.LogEvent;

/**
 * Catalogue of the events of the server for callers.
 */
public enum EntryEvent implements LogEvent {

	/**
	 * The handling of a request threw an exception.
	 */
	CALLER_REQUEST_FAILED,

	/**
	 * A caller was told that its request may have run.
	 */
	REQUEST_UNCERTAIN

}
