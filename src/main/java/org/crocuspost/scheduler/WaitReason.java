package org.crocuspost.scheduler;

/**
 * Reasons why tasks of a job wait.
 */
public enum WaitReason {

	/**
	 * No worker has enough free capacity now, or other tasks are started first.
	 */
	NO_ROOM,

	/**
	 * A task of the job needs more than any worker has beside its services.
	 */
	LARGER_THAN_EVERY_WORKER,

	/**
	 * The workers with enough free capacity run services that the job would disturb too
	 * much.
	 */
	WOULD_DISTURB_SERVICES,

	/**
	 * The quota of the team is used up.
	 */
	QUOTA,

	/**
	 * A task of the job is larger than the quota of the team.
	 */
	LARGER_THAN_QUOTA,

	/**
	 * No worker in the failure domains whose leases this scheduler holds accepts tasks
	 * now.
	 */
	NO_DOMAIN,

	/**
	 * Tasks of the job failed on several workers in a row; the job is tried again later.
	 */
	FAILS_EVERYWHERE,

	/**
	 * Another scheduler is expected to start the tasks.
	 */
	OTHER_SCHEDULER,

	/**
	 * Other tasks are being evicted to free capacity.
	 */
	EVICTING_OTHERS;

	/**
	 * Returns whether the tasks cannot start before an operator changes something.
	 * @return true if waiting alone cannot help
	 */
	public boolean isPermanent() {
		return this == LARGER_THAN_EVERY_WORKER || this == LARGER_THAN_QUOTA;
	}

}
