package org.crocuspost.lead;

/**
 * Tables and keys of crocuspost in the platform's store.
 */
public final class Tables {

	/**
	 * Written by the entries and agents, read by the leader: jobs, cancellations, hosts,
	 * workers that left.
	 */
	public static final String INTAKE = "intake";

	/**
	 * Written by the leader, read by the entries: progress of jobs and the leader itself.
	 */
	public static final String LEDGER = "ledger";

	/**
	 * Key of the row that names the leader.
	 */
	public static final String LEADER_KEY = "leader";

	/**
	 * Prefix of the keys of accepted jobs.
	 */
	public static final String JOB_PREFIX = "job/";

	/**
	 * Prefix of the keys of cancellations.
	 */
	public static final String CANCELLATION_PREFIX = "cancel/";

	/**
	 * Prefix of the keys of hosts with an agent.
	 */
	public static final String HOST_PREFIX = "host/";

	/**
	 * Prefix of the keys of hosts whose worker has left.
	 */
	public static final String DEPARTURE_PREFIX = "departed/";

	/**
	 * Prefix of the keys of the progress of jobs.
	 */
	public static final String PROGRESS_PREFIX = "progress/";

	private Tables() {
	}

}
