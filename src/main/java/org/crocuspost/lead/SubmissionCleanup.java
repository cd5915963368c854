package org.crocuspost.lead;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowCommit;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Timer;

/**
 * Reduces and removes the submissions of ended jobs, whose end the leader has recorded
 * before. Must be used on the event loop only.
 *
 * <p>
 * A transaction can't cover the leader's row, which is in another partition, so a former
 * leader could still write. Therefore each change requires the version of the row that
 * this leader has seen: a change that is executed late finds another version and has no
 * effect. An end is final, and a new leader repeats what is missing.
 */
final class SubmissionCleanup {

	/**
	 * Maximum number of jobs in a transaction. A removal takes a condition and two rows;
	 * the store accepts 100 entries.
	 */
	private static final int MAXIMUM_JOBS = 25;

	private final RowStore store;

	private final Timer timer;

	private final ObjLongConsumer<String> onRemoved;

	private final Map<String, Long> versions = new HashMap<>();

	private final Set<String> unreduced = new HashSet<>();

	private final Map<Integer, Deque<Change>> waiting = new HashMap<>();

	private boolean closed;

	/**
	 * Creates a cleanup without work.
	 * @param store the store
	 * @param timer the timer of the event loop
	 * @param onRemoved receives each removed job with the version of the store
	 */
	SubmissionCleanup(RowStore store, Timer timer, ObjLongConsumer<String> onRemoved) {
		this.store = store;
		this.timer = timer;
		this.onRemoved = onRemoved;
	}

	/**
	 * Records the version of a submission that the leader has read.
	 * @param job the identity of the job
	 * @param version the version of its row
	 */
	void seen(String job, long version) {
		this.versions.merge(job, version, Math::max);
	}

	/**
	 * Returns whether the submission of a job is in the table that this class cleans up.
	 * @param job the identity of the job
	 * @return false if an earlier version of the programs stored it
	 */
	boolean knows(String job) {
		return this.versions.containsKey(job);
	}

	/**
	 * Replaces the submissions of jobs by the mark of an ended job.
	 * @param jobs the identities of the jobs
	 */
	void reduce(Collection<String> jobs) {
		jobs.stream().filter(this::knows).forEach((job) -> {
			this.unreduced.add(job);
			add(new Change(job, false));
		});
	}

	/**
	 * Returns whether the submission of an ended job is still whole.
	 * @param job the identity of the job
	 * @return true if its reduction is not confirmed yet
	 */
	boolean isUnreduced(String job) {
		return this.unreduced.contains(job);
	}

	/**
	 * Removes the submissions and cancellations of jobs.
	 * @param jobs the identities of the jobs
	 */
	void remove(Collection<String> jobs) {
		jobs.forEach((job) -> add(new Change(job, true)));
	}

	private void add(Change change) {
		int partition = Tables.partition(Tables.SUBMISSIONS, change.key());
		Deque<Change> changes = this.waiting.get(partition);
		if (changes != null) {
			changes.add(change);
			return;
		}
		changes = new ArrayDeque<>(List.of(change));
		this.waiting.put(partition, changes);
		// Changes that are added in the same pass share a transaction.
		this.timer.schedule(LeadershipTimings.BATCHING_DELAY, () -> sendNext(partition));
	}

	private void sendNext(int partition) {
		Deque<Change> changes = this.waiting.get(partition);
		if (this.closed || changes == null) {
			return;
		}
		List<Change> group = new ArrayList<>();
		while (!changes.isEmpty() && group.size() < MAXIMUM_JOBS && !contains(group, changes.peek().job())) {
			Change change = changes.remove();
			if (this.versions.containsKey(change.job())) {
				group.add(change);
			}
		}
		if (group.isEmpty()) {
			this.waiting.remove(partition);
			return;
		}
		send(partition, group);
	}

	private static boolean contains(List<Change> group, String job) {
		return group.stream().anyMatch((change) -> change.job().equals(job));
	}

	private void send(int partition, List<Change> group) {
		List<RowTransaction.Condition> conditions = new ArrayList<>();
		List<RowTransaction.Write> writes = new ArrayList<>();
		List<RowTransaction.Removal> removals = new ArrayList<>();
		for (Change change : group) {
			conditions.add(new RowTransaction.Condition(Tables.SUBMISSIONS, change.key(),
					this.versions.getOrDefault(change.job(), StoredRow.ABSENT)));
			if (change.removal()) {
				removals.add(new RowTransaction.Removal(Tables.SUBMISSIONS, change.key()));
				removals.add(new RowTransaction.Removal(Tables.SUBMISSIONS, Tables.CANCELLATION_PREFIX + change.job()));
			}
			else {
				writes.add(new RowTransaction.Write(Tables.SUBMISSIONS, change.key(), Tables.ENDED_JOB));
			}
		}
		this.store.commit(new RowTransaction(conditions, writes, removals), (answer) -> {
			if (this.closed) {
				return;
			}
			if (answer.isLeft()) {
				this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> send(partition, group));
			}
			else if (answer.get().applied()) {
				group.forEach((change) -> applied(change, answer.get().version()));
				sendNext(partition);
			}
			else {
				retryWithoutChangedRows(partition, group, answer.get());
			}
		});
	}

	private void applied(Change change, long version) {
		this.unreduced.remove(change.job());
		if (change.removal()) {
			this.versions.remove(change.job());
			this.onRemoved.accept(change.job(), version);
		}
		else {
			this.versions.put(change.job(), version);
		}
	}

	/**
	 * Handles a group of which a row has another version than expected: an earlier copy
	 * of the transaction was applied without an answer, or another process wrote it.
	 * @param partition the partition
	 * @param group the changes
	 * @param commit the answer, with the current rows
	 */
	private void retryWithoutChangedRows(int partition, List<Change> group, RowCommit commit) {
		Map<String, StoredRow> current = new HashMap<>();
		commit.current().forEach((row) -> current.put(row.key(), row));
		List<Change> unchanged = new ArrayList<>();
		for (Change change : group) {
			StoredRow row = current.getOrDefault(change.key(), new StoredRow(change.key(), StoredRow.ABSENT, ""));
			if (row.version() == this.versions.getOrDefault(change.job(), StoredRow.ABSENT)) {
				unchanged.add(change);
			}
			else if (change.removal() && !row.exists()) {
				// The version of the removal is unknown, but the next one of the row
				// exceeds it.
				applied(change, this.versions.getOrDefault(change.job(), StoredRow.ABSENT) + 1);
			}
			else if (!change.removal() && row.value().equals(Tables.ENDED_JOB)) {
				applied(change, row.version());
			}
			else {
				EventLog.warn(LeadEvent.ROW_IGNORED, Field.of("key", change.key()), Field.of("version", row.version()),
						Field.of("reason", "the submission of an ended job has changed"));
				this.versions.remove(change.job());
				this.unreduced.remove(change.job());
			}
		}
		if (unchanged.isEmpty()) {
			sendNext(partition);
		}
		else if (unchanged.size() < group.size()) {
			send(partition, unchanged);
		}
		else {
			this.timer.schedule(LeadershipTimings.RETRY_DELAY, () -> send(partition, unchanged));
		}
	}

	void close() {
		this.closed = true;
	}

	/**
	 * A change of a submission.
	 *
	 * @param job the identity of the job
	 * @param removal whether the submission is removed; otherwise it is reduced
	 */
	private record Change(String job, boolean removal) {

		private String key() {
			return Tables.JOB_PREFIX + this.job;
		}

	}

}
