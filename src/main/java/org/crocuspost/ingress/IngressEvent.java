package org.crocuspost.ingress;

import org.crocuspost.log.LogEvent;

/**
 * Events of the entry.
 */
public enum IngressEvent implements LogEvent {

	/**
	 * A job was accepted and stored.
	 */
	JOB_ACCEPTED,

	/**
	 * A job was not accepted.
	 */
	JOB_REFUSED,

	/**
	 * A cancellation was stored or refused.
	 */
	CANCELLATION_ANSWERED,

	/**
	 * The stored progress of a job cannot be read.
	 */
	PROGRESS_IGNORED,

	/**
	 * The entry takes requests or stops to take them.
	 */
	READINESS_CHANGED

}
