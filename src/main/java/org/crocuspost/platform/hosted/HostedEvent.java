package org.crocuspost.platform.hosted;

import org.crocuspost.log.LogEvent;

/**
 * Log events of the start of a process and of its settings.
 */
enum HostedEvent implements LogEvent {

	/**
	 * The process has read its settings and is starting.
	 */
	PROGRAM_STARTING,

	/**
	 * The metrics port cannot be opened. The process continues without metrics.
	 */
	METRICS_UNAVAILABLE,

	/**
	 * The settings were reloaded on request.
	 */
	SETTINGS_RELOADED,

	/**
	 * The reloaded settings have errors. The previous settings stay in force.
	 */
	SETTINGS_IGNORED

}
