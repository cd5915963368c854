package org.crocuspost.lead;

/**
 * Names of the tables and keys of crocuspost in the platform's store.
 */
public final class Tables {

	/**
	 * Table that entry processes and agents write and the leader reads. Holds accepted
	 * jobs, cancellations, hosts and departures of workers.
	 */
	public static final String INTAKE = "intake";

	/**
	 * Table that the leader writes and entry processes read. Holds the states of jobs and
	 * the row that names the leader.
	 */
	public static final String LEDGER = "ledger";

	/**
	 * Table that only the leader writes and reads. Holds the progress of the tasks of
	 * active jobs.
	 */
	public static final String TASKS = "tasks";

	/**
	 * Table that only the leader writes and reads. Holds what it has learned of the load.
	 */
	public static final String MODEL = "model";

	/**
	 * Key of the pressures of images in {@link #MODEL}.
	 */
	public static final String IMAGES_KEY = "images";

	/**
	 * Value that replaces the specification of a job that has ended. Its row remains, so
	 * that a repeated submission of the job is recognized.
	 */
	public static final String ENDED_JOB = "ended";

	/**
	 * Value that takes the place of a job whose cancellation was answered before the job
	 * was stored. A write of the job that the store carries out later is refused.
	 */
	public static final String WITHDRAWN_JOB = "withdrawn";

	/**
	 * Key of the work ahead of new jobs in {@link #LEDGER}.
	 */
	public static final String ADMISSION_KEY = "admission";

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
	 * Prefix of the keys of the states of jobs.
	 */
	public static final String PROGRESS_PREFIX = "progress/";

	private Tables() {
	}

}
