package org.crocuspost.interference;

import org.crocuspost.log.LogEvent;

/**
 * Log events of interference control.
 */
public enum InterferenceEvent implements LogEvent {

	/**
	 * The tail latency of the service rose above the limit; batch work is throttled
	 * further.
	 */
	BATCH_WORK_YIELDS,

	/**
	 * The eviction of an attempt was requested.
	 */
	EVICTION_REQUESTED

}
