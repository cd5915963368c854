package org.crocuspost.platform.hosted;

import org.crocuspost.log.LogEvent;

/**
 * Log events of changes in the operator's rows.
 */
enum OperatorEvent implements LogEvent {

	/**
	 * A new configuration is in force in this process.
	 */
	CONFIGURATION_IN_FORCE,

	/**
	 * The configuration in the store cannot be decoded. The previous one stays in force.
	 */
	CONFIGURATION_IGNORED,

	/**
	 * The set of failure domains that are out of service has changed.
	 */
	FAILURE_DOMAINS_OUT

}
