package org.crocuspost.host;

import org.crocuspost.log.LogEvent;

/**
 * Log events of an agent.
 */
public enum HostEvent implements LogEvent {

	/**
	 * A new incarnation of the worker has announced itself.
	 */
	WORKER_SEEN,

	/**
	 * Another incarnation of the worker than the announced one has answered; the state of
	 * the announced incarnation is discarded.
	 */
	WORKER_RESTARTED,

	/**
	 * The lists of this incarnation of the worker were read for the first time; from now
	 * on the reports name the worker.
	 */
	WORKER_LISTED,

	/**
	 * The store did not show the epoch of the leader at the start; the agent follows the
	 * first leader that connects until a newer one does. A worker that has accepted a
	 * call for a newer leader rejects its calls meanwhile.
	 */
	EPOCH_UNKNOWN,

	/**
	 * A connection of a leader is closed because of a network error or a message that
	 * cannot be processed.
	 */
	CONNECTION_FAILED,

	/**
	 * The worker announces another capacity than before.
	 */
	CAPACITY_CHANGED,

	/**
	 * The worker is draining before its departure.
	 */
	WORKER_DRAINING,

	/**
	 * The worker has announced its departure.
	 */
	WORKER_DEPARTING,

	/**
	 * The worker has announced its departure and no longer answers.
	 */
	WORKER_LEFT,

	/**
	 * An announcement is malformed or out of date, and is ignored.
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
	 * The worker has seen a higher fencing token, so the agent raises its own within the
	 * epoch of its leader. If that does not help, a newer leader has replaced that one.
	 */
	FENCE_RAISED,

	/**
	 * The worker has rejected all calls for so long that none of its runs is left, and
	 * the agent raises its fencing token above those of newer leaders.
	 */
	FENCE_OVERRIDDEN,

	/**
	 * The worker has accepted a call for a new leader, and rejects those for former
	 * leaders from now on.
	 */
	FORMER_LEADERS_FENCED,

	/**
	 * A leader has connected.
	 */
	LEADER_CONNECTED,

	/**
	 * The connection to the leader is lost.
	 */
	LEADER_DISCONNECTED,

	/**
	 * An order to start a run was carried out or refused, or its outcome is unknown.
	 */
	START_ANSWERED,

	/**
	 * An entry of the worker's lists is malformed and is ignored.
	 */
	RUN_IGNORED,

	/**
	 * The worker is ordered to stop a run.
	 */
	STOP_ORDERED,

	/**
	 * The pace of a filler was changed.
	 */
	PACE_CHANGED,

	/**
	 * The host is registered in the store.
	 */
	HOST_REGISTERED,

	/**
	 * The departure of the worker is recorded in the store.
	 */
	DEPARTURE_RECORDED,

	/**
	 * The agent failed to write to the store and will retry.
	 */
	REGISTRATION_DELAYED

}
