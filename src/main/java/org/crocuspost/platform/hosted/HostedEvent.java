package org.crocuspost.platform.hosted;

import org.crocuspost.log.LogEvent;

/**
 * Events in the life of a program.
 */
enum HostedEvent implements LogEvent {

	/**
	 * The program has read its settings and starts.
	 */
	PROGRAM_STARTING,

	/**
	 * The port for metrics cannot be opened; the program goes on without.
	 */
	METRICS_UNAVAILABLE,

	/**
	 * The settings were read again on request.
	 */
	SETTINGS_RELOADED,

	/**
	 * The settings have faults; the former ones stay in force.
	 */
	SETTINGS_IGNORED

}
