package org.crocuspost.platform.table;

/**
 * Keys and key prefixes of all rows that crocuspost stores in the table service.
 */
public final class TableKeys {

	/**
	 * Key of the row with the version, release note identity and digest of the
	 * configuration in force. The row is written only when a release note is accepted.
	 */
	public static final String CONFIGURATION_HEAD = "configuration/head";

	/**
	 * Prefix of the rows of accepted release notes.
	 */
	public static final String NOTES = "note/";

	/**
	 * Prefix of the rows of failure domains. A row is written when a release note takes
	 * the domain out of service or returns it to service. Each claim of a task is
	 * conditional on the version of the row.
	 */
	public static final String DOMAINS = "domain/";

	/**
	 * Prefix of the rows of scheduling leases, one for each failure domain.
	 */
	public static final String SHARDS = "shard/";

	/**
	 * Prefix of the rows of tasks.
	 */
	public static final String TASKS = "task/";

	/**
	 * Prefix of the rows of entry and scheduler processes.
	 */
	public static final String MEMBERS = "member/";

	private TableKeys() {
	}

	/**
	 * Returns the key of a release note.
	 * @param noteId the identity of the release note
	 * @return the key
	 */
	public static String note(String noteId) {
		return NOTES + noteId;
	}

	/**
	 * Returns the key of a failure domain.
	 * @param failureDomain the failure domain
	 * @return the key
	 */
	public static String domain(String failureDomain) {
		return DOMAINS + failureDomain;
	}

	/**
	 * Returns the key of the scheduling lease of a failure domain.
	 * @param failureDomain the failure domain
	 * @return the key
	 */
	public static String shard(String failureDomain) {
		return SHARDS + failureDomain;
	}

	/**
	 * Returns the key of a task.
	 * @param taskId the identity of the task
	 * @return the key
	 */
	public static String task(String taskId) {
		return TASKS + taskId;
	}

	/**
	 * Returns the key of a process.
	 * @param role the role in lower case
	 * @param name the name of the process
	 * @return the key
	 */
	public static String member(String role, String name) {
		return MEMBERS + role + "/" + name;
	}

}
