package org.crocuspost.lead;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.rows.RowWatch;
import org.crocuspost.time.Clock;

/**
 * Publishes up to which version of the store all submissions are in the ledger: the
 * version before the oldest submission that is not recorded, or else the version that the
 * watch of the submissions has reached.
 *
 * <p>
 * Every entry process accepts jobs, but only the leader lists them all. While there is no
 * leader, or while one restores its state or falls behind, the ledger lacks jobs, and
 * nothing else in it shows that: a leader that reads tables for 4 s renews its row every
 * 0.7 s and does not look absent, but this version does not rise.
 */
final class RecordedSubmissions {

	private final RowWatch submissions;

	private final Clock clock;

	private final Map<String, Long> unrecorded = new HashMap<>();

	private long published;

	private long publishedNanos;

	/**
	 * Creates a publisher whose first version is due immediately.
	 * @param submissions the watch of the submissions
	 * @param clock the clock of the process
	 */
	RecordedSubmissions(RowWatch submissions, Clock clock) {
		this.submissions = submissions;
		this.clock = clock;
		makeDue();
	}

	private void makeDue() {
		this.publishedNanos = this.clock.nanoTime() - LeadershipTimings.RECORDED_SUBMISSIONS_INTERVAL.toNanos();
	}

	/**
	 * Handles a submission that is not in the ledger yet.
	 * @param job the ID of the job
	 * @param version the version of its row
	 */
	void added(String job, long version) {
		this.unrecorded.put(job, version);
	}

	/**
	 * Handles that the states of jobs are in the ledger.
	 * @param jobs the IDs of the jobs
	 */
	void recorded(Collection<String> jobs) {
		this.unrecorded.keySet().removeAll(jobs);
	}

	/**
	 * Returns the version to add to the transaction that is written now.
	 * @return the version, or empty if it is not due or has not risen
	 */
	Optional<String> takeIfDue() {
		long now = this.clock.nanoTime();
		long version = this.unrecorded.isEmpty() ? this.submissions.version()
				: Collections.min(this.unrecorded.values()) - 1;
		if (version <= this.published
				|| now - this.publishedNanos < LeadershipTimings.RECORDED_SUBMISSIONS_INTERVAL.toNanos()) {
			return Optional.empty();
		}
		this.published = version;
		this.publishedNanos = now;
		return Optional.of(Long.toString(version));
	}

	/**
	 * Handles that the transaction with the last version was rejected.
	 */
	void rejected() {
		this.published = 0;
		makeDue();
	}

}
