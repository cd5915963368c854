package org.crocuspost.host;

import org.crocuspost.log.LogEvent;

/**
 * Events of an agent.
 */
public enum HostEvent implements LogEvent {

	/**
	 * A new life of the worker has announced itself.
	 */
	WORKER_SEEN,

	/**
	 * The worker answers in another life than the announced one; what is known of the
	 * announced life is forgotten.
	 */
	WORKER_RESTARTED,

	/**
	 * The lists of this life of the worker were read for the first time; from now on the
	 * reports name the worker.
	 */
	WORKER_LISTED,

	/**
	 * The worker is about to leave.
	 */
	WORKER_DRAINING,

	/**
	 * The worker says that it ends now.
	 */
	WORKER_DEPARTING,

	/**
	 * The worker has said that it ends and no longer answers.
	 */
	WORKER_LEFT,

	/**
	 * An announcement could not be read or is out of date, and is ignored.
	 */
	ANNOUNCEMENT_IGNORED,

	/**
	 * The worker no longer answers.
	 */
	WORKER_SILENT,

	/**
	 * The worker answers again.
	 */
	WORKER_REGAINED,

	/**
	 * The worker knows a higher fencing token; the agent takes a higher one.
	 */
	FENCE_RAISED,

	/**
	 * A leader has connected.
	 */
	LEADER_CONNECTED,

	/**
	 * The connection to the leader is lost.
	 */
	LEADER_DISCONNECTED,

	/**
	 * An order to start a run was carried out, refused or left open.
	 */
	START_ANSWERED,

	/**
	 * A row of the worker's lists could not be read.
	 */
	RUN_IGNORED,

	/**
	 * A run is stopped.
	 */
	STOP_ORDERED,

	/**
	 * The pace of a filler was changed.
	 */
	PACE_CHANGED,

	/**
	 * The agent is entered in the store.
	 */
	HOST_REGISTERED,

	/**
	 * The end of the worker is recorded in the store.
	 */
	DEPARTURE_RECORDED,

	/**
	 * The agent could not write to the store and tries again.
	 */
	REGISTRATION_DELAYED

}
