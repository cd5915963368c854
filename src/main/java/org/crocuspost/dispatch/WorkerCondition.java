package org.crocuspost.dispatch;

import java.util.Locale;

/**
 * What keeps a waiting task from a worker, by the information of the leader. The first
 * condition that holds counts, in the order of the constants.
 */
public enum WorkerCondition {

	/**
	 * The worker has left.
	 */
	LEFT(Kind.NO_ROOM),

	/**
	 * The host is not connected to the leader.
	 */
	DISCONNECTED(Kind.NO_ROOM),

	/**
	 * The agent reports that the worker does not answer, or has not reported on this
	 * connection.
	 */
	SILENT(Kind.NO_ROOM),

	/**
	 * The worker lacks the label that the task requires.
	 */
	LABEL(Kind.NO_ROOM),

	/**
	 * The worker has too little processor capacity that is not reserved.
	 */
	CORES(Kind.NO_ROOM),

	/**
	 * The worker has too little free memory.
	 */
	MEMORY(Kind.NO_ROOM),

	/**
	 * The worker has too few free accelerators.
	 */
	ACCELERATORS(Kind.NO_ROOM),

	/**
	 * The worker has room and drains.
	 */
	DRAINING(Kind.ROOM),

	/**
	 * The worker has room, and its failure domain is out of service.
	 */
	EVACUATED(Kind.ROOM),

	/**
	 * The worker has room, and its lease may have lapsed.
	 */
	LEASE_LAPSED(Kind.ROOM),

	/**
	 * The worker has room and is in quarantine.
	 */
	QUARANTINE(Kind.EXCLUDED),

	/**
	 * The worker has room, and the last starts on it have led to no run.
	 */
	STARTS_FAILED(Kind.EXCLUDED),

	/**
	 * The worker has room and runs as many tasks of the step as it may.
	 */
	WORKER_LIMIT(Kind.EXCLUDED),

	/**
	 * The room is held for a long-running task.
	 */
	HELD(Kind.EXCLUDED),

	/**
	 * The worker has room, and a task that is suspected to crash workers is on probation
	 * there.
	 */
	ON_PROBATION(Kind.EXCLUDED),

	/**
	 * The task is suspected, and workers of the host have crashed repeatedly.
	 */
	UNSTABLE(Kind.EXCLUDED),

	/**
	 * The task is suspected, and as many workers as allowed have a task on probation.
	 */
	PROBATION_LIMIT(Kind.EXCLUDED),

	/**
	 * The worker has too little processor capacity for another filler.
	 */
	FILLER_CORES(Kind.NO_ROOM),

	/**
	 * A filler of the image was recently stopped on the worker for its low pace.
	 */
	BACK_OFF(Kind.EXCLUDED),

	/**
	 * The image is unknown, and another filler tries how much it presses on services.
	 */
	TRIAL(Kind.EXCLUDED),

	/**
	 * The filler would press too hard on the services of the worker.
	 */
	PRESSURE(Kind.EXCLUDED),

	/**
	 * Nothing keeps the task from the worker.
	 */
	SUITED(Kind.ROOM);

	private final Kind kind;

	WorkerCondition(Kind kind) {
		this.kind = kind;
	}

	/**
	 * Returns whether the worker has room for the task.
	 * @return false also if it is not known
	 */
	public boolean hasRoom() {
		return this.kind != Kind.NO_ROOM;
	}

	/**
	 * Returns whether the worker is at work and has room, and the leader excludes it.
	 * @return true if it is a decision of the leader
	 */
	boolean excluded() {
		return this.kind == Kind.EXCLUDED;
	}

	/**
	 * Returns the condition as it appears in logs.
	 * @return the name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private enum Kind {

		NO_ROOM, ROOM, EXCLUDED

	}

}
