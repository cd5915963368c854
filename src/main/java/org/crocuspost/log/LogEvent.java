package org.crocuspost.log;

import java.util.Locale;

/**
 * Kind of log event. Each package lists its events in an enum that implements this
 * interface.
 */
public interface LogEvent {

	/**
	 * Returns the name of the enum constant.
	 * @return the name in upper case with underscores
	 */
	String name();

	/**
	 * Returns the name of the event as it appears in logs. The name must not change
	 * between versions.
	 * @return the name in lower case with hyphens
	 */
	default String eventName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
