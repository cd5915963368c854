package org.crocuspost.distribution;

import org.crocuspost.log.LogEvent;

/**
 * Log events of the distribution of the configuration.
 */
public enum DistributionEvent implements LogEvent {

	/**
	 * This process has adopted a newer configuration.
	 */
	CONFIGURATION_ADOPTED,

	/**
	 * The newest configuration could not be read; this process keeps the last one.
	 */
	CONFIGURATION_UNREADABLE,

	/**
	 * The newest configuration can be read again.
	 */
	CONFIGURATION_READABLE,

	/**
	 * An update from an entry could not be decoded and was ignored.
	 */
	CONFIGURATION_MALFORMED

}
