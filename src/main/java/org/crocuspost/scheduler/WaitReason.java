package org.crocuspost.scheduler;

/**
 * Why tasks of a job wait.
 */
public enum WaitReason {

	/**
	 * No worker has room now.
	 */
	NO_ROOM,

	/**
	 * A task of the job is larger than every worker.
	 */
	LARGER_THAN_EVERY_WORKER,

	/**
	 * The workers with room run services that the job would disturb too much.
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
	 * No failure domain that this scheduler holds takes tasks.
	 */
	NO_DOMAIN,

	/**
	 * Tasks of the job fail on every worker; the job is tried again later.
	 */
	FAILS_EVERYWHERE,

	/**
	 * Another scheduler is expected to start the tasks.
	 */
	OTHER_SCHEDULER,

	/**
	 * Other tasks are being evicted to make room.
	 */
	EVICTING_OTHERS;

	/**
	 * Says whether waiting alone can help.
	 * @return false if an operator must change something
	 */
	public boolean hopeless() {
		return this == LARGER_THAN_EVERY_WORKER || this == LARGER_THAN_QUOTA;
	}

}
