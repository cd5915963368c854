package org.crocuspost.platform.hosted;

import org.crocuspost.log.LogEvent;

/**
 * Events of the operator's rows.
 */
enum OperatorEvent implements LogEvent {

	/**
	 * A configuration is in force in this process.
	 */
	CONFIGURATION_IN_FORCE,

	/**
	 * The configuration in the store cannot be read; the former one stays in force.
	 */
	CONFIGURATION_IGNORED,

	/**
	 * The failure domains that are out have changed.
	 */
	FAILURE_DOMAINS_OUT

}
