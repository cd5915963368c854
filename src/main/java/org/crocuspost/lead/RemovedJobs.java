package org.crocuspost.lead;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jobs whose rows this leader has removed. A table that was read before the removal and
 * is learned of after it still shows them.
 */
final class RemovedJobs {

	/**
	 * Jobs that are remembered. A read of the table takes seconds at most, in which fewer
	 * jobs are removed.
	 */
	private static final int REMEMBERED = 4_096;

	private final Map<String, Long> versions = new LinkedHashMap<>();

	/**
	 * Notes a removal.
	 * @param jobs the identities of the jobs
	 * @param version the version of the store at which their rows were removed
	 */
	void add(Collection<String> jobs, long version) {
		for (String job : jobs) {
			this.versions.remove(job);
			this.versions.put(job, version);
		}
		while (this.versions.size() > REMEMBERED) {
			this.versions.remove(this.versions.keySet().iterator().next());
		}
	}

	/**
	 * Says whether a row of a job was written before the job was removed.
	 * @param job the identity of the job
	 * @param rowVersion the version of the row
	 * @return false also if the job was never removed, or was handed in again since
	 */
	boolean removedAfter(String job, long rowVersion) {
		Long removed = this.versions.get(job);
		return removed != null && rowVersion < removed;
	}

}
