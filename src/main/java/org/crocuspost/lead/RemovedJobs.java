package org.crocuspost.lead;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jobs whose rows this leader has removed. A view of the table that was read before a
 * removal and is processed after it still contains them.
 */
final class RemovedJobs {

	/**
	 * Maximum number of jobs that are kept. A read of the table takes seconds at most, in
	 * which fewer jobs are removed.
	 */
	private static final int MAXIMUM_ENTRIES = 4_096;

	private final Map<String, Long> removalVersions = new LinkedHashMap<>();

	/**
	 * Records a removal, and discards the oldest removals beyond the maximum.
	 * @param jobs the identities of the jobs
	 * @param version the version of the store at which their rows were removed
	 */
	void add(Collection<String> jobs, long version) {
		for (String job : jobs) {
			this.removalVersions.remove(job);
			this.removalVersions.put(job, version);
		}
		while (this.removalVersions.size() > MAXIMUM_ENTRIES) {
			this.removalVersions.remove(this.removalVersions.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether a row of a job was written before the job was removed.
	 * @param job the identity of the job
	 * @param rowVersion the version of the row
	 * @return true if the row is out of date; false also if the job was never removed, or
	 * was submitted again after its removal
	 */
	boolean removedAfter(String job, long rowVersion) {
		Long removed = this.removalVersions.get(job);
		return removed != null && rowVersion < removed;
	}

}
