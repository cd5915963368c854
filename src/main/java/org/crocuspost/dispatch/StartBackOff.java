package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * Keeps tasks from a worker on which starts lead to no run. Mutable.
 *
 * <p>
 * The load pattern is a worker that answers its agent and starts nothing, or an agent
 * that refuses each start. Such a worker stays empty, so the placement prefers it to all
 * others: a task that is refused there is assigned to it again within milliseconds, and
 * never gets to a sound worker. Excluding the worker for a single task does not help,
 * since each further task pays for the same experience.
 *
 * <p>
 * After a failed start the worker is a last resort and gets one start at a time, until a
 * run is listed there. From the second one in a row on it also gets none for a time that
 * doubles. Excluding it for a fixed time would assign all waiting tasks to it at the end
 * of that time, and excluding it after a single order that was lost would delay a task
 * that has no other worker.
 */
final class StartBackOff {

	private boolean failing;

	private long lastFailureNanos;

	private long untilNanos;

	private Duration next = DispatchSettings.MINIMUM_START_BACK_OFF;

	/**
	 * Records that a start has led to no run. Starts that fail at the same time, or while
	 * the worker gets none, were ordered before and do not prolong the time.
	 * @param nowNanos the current time
	 */
	void startFailed(long nowNanos) {
		if (excludes(nowNanos) || (this.failing && nowNanos == this.lastFailureNanos)) {
			return;
		}
		if (doubtful(nowNanos)) {
			this.untilNanos = nowNanos + this.next.toNanos();
			Duration doubled = this.next.multipliedBy(2);
			this.next = (doubled.compareTo(DispatchSettings.MAXIMUM_START_BACK_OFF) > 0)
					? DispatchSettings.MAXIMUM_START_BACK_OFF : doubled;
		}
		else {
			this.untilNanos = nowNanos;
			this.next = DispatchSettings.MINIMUM_START_BACK_OFF;
		}
		this.failing = true;
		this.lastFailureNanos = nowNanos;
	}

	/**
	 * Records that the worker has listed a run that was started on it.
	 */
	void runListed() {
		this.failing = false;
	}

	/**
	 * Returns whether the worker gets no start at present.
	 * @param nowNanos the current time
	 * @return true during the time after a failed start
	 */
	boolean excludes(long nowNanos) {
		return this.failing && nowNanos < this.untilNanos;
	}

	/**
	 * Returns whether the last starts on the worker have led to no run.
	 * @param nowNanos the current time
	 * @return true until a run is listed, or until no start was tried for a time
	 */
	boolean doubtful(long nowNanos) {
		return this.failing && nowNanos - this.lastFailureNanos < DispatchSettings.START_FAILURE_MEMORY.toNanos();
	}

}
