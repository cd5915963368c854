package org.crocuspost.interference;

import org.crocuspost.log.LogEvent;

/**
 * Events of the control of interference.
 */
public enum InterferenceEvent implements LogEvent {

	/**
	 * The tail of the service's latency rose above the limit; batch work yields.
	 */
	BATCH_WORK_YIELDS,

	/**
	 * The eviction of an attempt was requested.
	 */
	EVICTION_REQUESTED

}
