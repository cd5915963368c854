package org.crocuspost.lead;

/**
 * Names of the tables and keys of crocuspost in the platform's store.
 */
public final class Tables {

	/**
	 * Table that agents write and the leader reads. Holds hosts and departures of
	 * workers, and jobs and cancellations that earlier versions of the programs accepted.
	 */
	public static final String INTAKE = "intake";

	/**
	 * Table that entry processes write and the leader reads. Holds accepted jobs and
	 * cancellations, spread over partitions by the ID of the job.
	 */
	public static final String SUBMISSIONS = "submissions";

	/**
	 * Number of partitions of {@link #SUBMISSIONS}. A partition executes its transactions
	 * one after another; in a single one, which the leader also used, submissions and the
	 * leader blocked each other for seconds while the store was slow. The number is part
	 * of the stored format: with another one, a job would be found under another
	 * partition.
	 */
	public static final int SUBMISSION_PARTITIONS = 8;

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
	 * Key of the version of the store in {@link #LEDGER} up to which the states of all
	 * submitted jobs are in that table. It sorts before the states, so that a read of the
	 * table in several pages never combines it with states that were read earlier.
	 */
	public static final String RECORDED_SUBMISSIONS_KEY = "listed-submissions";

	/**
	 * Key of the row that names the leader.
	 */
	public static final String LEADER_KEY = "leader";

	/**
	 * Key of the row that names the leader before the present one.
	 */
	public static final String FORMER_LEADER_KEY = "former-leader";

	/**
	 * Key of the row that says which leader has ended with its process.
	 */
	public static final String ENDED_LEADER_KEY = "ended-leader";

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

	/**
	 * Returns the partition of a row. The rows of a transaction must be in one partition.
	 * @param table the table
	 * @param key the key of the row
	 * @return 0 for the rows that the leader writes under its fence, otherwise a number
	 * from 1 to {@link #SUBMISSION_PARTITIONS}
	 */
	public static int partition(String table, String key) {
		if (!table.equals(SUBMISSIONS)) {
			return 0;
		}
		String id = key.substring(key.indexOf('/') + 1);
		return 1 + Math.floorMod(id.hashCode(), SUBMISSION_PARTITIONS);
	}

}
