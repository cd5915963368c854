package org.crocuspost.interference;

import org.crocuspost.log.LogEvent;

/**
 * Log events of interference control.
 */
public enum InterferenceEvent implements LogEvent {

	/**
	 * The pressure rose above {@link InterferenceSettings#highPressure()}; the tolerated
	 * slowdown is reduced, so that batch work is throttled further.
	 */
	BATCH_WORK_YIELDS,

	/**
	 * The eviction of an attempt was requested.
	 */
	EVICTION_REQUESTED

}
