package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;

/**
 * Removes the rows that took the place of rejected jobs once no earlier write of the job
 * can be carried out any more.
 *
 * <p>
 * The row of a job that its caller has submitted again in the meantime must not be
 * removed, so each removal requires the version of the row. The leader's own transactions
 * cannot contain that condition: a transaction can't span partitions, and a leader whose
 * transaction is not applied has lost its leadership. A removal by a former leader is
 * harmless for the same reason: it removes only a row that has not changed for the whole
 * retention.
 */
final class RejectedJobs {

	/**
	 * Maximum number of rows in a transaction. One row that was replaced keeps the others
	 * of its transaction until the next attempt.
	 */
	private static final int MAXIMUM_ROWS = 20;

	private final RowStore store;

	private final Duration retention;

	private final Clock clock;

	private final Map<String, Seen> seen = new LinkedHashMap<>();

	private final Set<Integer> busyPartitions = new HashSet<>();

	private long removedNanos;

	RejectedJobs(RowStore store, Duration retention, Clock clock) {
		this.store = store;
		this.retention = retention;
		this.clock = clock;
		this.removedNanos = clock.nanoTime();
	}

	/**
	 * Notes the row of a rejected job.
	 * @param row the row
	 */
	void rejected(StoredRow row) {
		Seen earlier = this.seen.get(row.key());
		if (earlier == null || earlier.version() != row.version()) {
			this.seen.remove(row.key());
			this.seen.put(row.key(), new Seen(row.version(), this.clock.nanoTime()));
		}
	}

	/**
	 * Notes a row that does not stand for a rejected job any more.
	 * @param key the key of the row
	 */
	void replaced(String key) {
		this.seen.remove(key);
	}

	/**
	 * Removes the rows that have not changed during the retention, if the interval has
	 * passed.
	 */
	void removeIfDue() {
		long now = this.clock.nanoTime();
		if (now - this.removedNanos < LeadershipTimings.REJECTED_JOBS_INTERVAL.toNanos()) {
			return;
		}
		this.removedNanos = now;
		Map<Integer, List<RowTransaction.Condition>> groups = new HashMap<>();
		for (Map.Entry<String, Seen> entry : this.seen.entrySet()) {
			// The rows are in the order in which they were seen.
			if (now - entry.getValue().nanos() < this.retention.toNanos()) {
				break;
			}
			List<RowTransaction.Condition> group = groups
				.computeIfAbsent(Tables.partition(Tables.SUBMISSIONS, entry.getKey()), (number) -> new ArrayList<>());
			if (group.size() < MAXIMUM_ROWS) {
				group.add(new RowTransaction.Condition(Tables.SUBMISSIONS, entry.getKey(), entry.getValue().version()));
			}
		}
		groups.forEach(this::remove);
	}

	private void remove(int partition, List<RowTransaction.Condition> conditions) {
		if (!this.busyPartitions.add(partition)) {
			return;
		}
		List<RowTransaction.Removal> removals = conditions.stream()
			.map((condition) -> new RowTransaction.Removal(Tables.SUBMISSIONS, condition.key()))
			.toList();
		this.store.commit(new RowTransaction(conditions, List.of(), removals), (answer) -> {
			this.busyPartitions.remove(partition);
			if (answer.isLeft()) {
				return;
			}
			if (answer.get().applied()) {
				conditions.forEach((condition) -> forgetIfRemoved(condition.key(), condition.version()));
				EventLog.info(LeadEvent.REJECTED_JOBS_REMOVED, Field.of("rows", removals.size()));
			}
			else {
				answer.get().current().forEach(this::forgetIfChanged);
			}
		});
	}

	// The row may have been written again before the answer was received.
	private void forgetIfRemoved(String key, long version) {
		Seen noted = this.seen.get(key);
		if (noted != null && noted.version() == version) {
			this.seen.remove(key);
		}
	}

	private void forgetIfChanged(StoredRow row) {
		Seen noted = this.seen.get(row.key());
		boolean newer = noted != null && row.exists() && noted.version() > row.version();
		if (noted != null && noted.version() != row.version() && !newer) {
			this.seen.remove(row.key());
		}
	}

	int size() {
		return this.seen.size();
	}

	private record Seen(long version, long nanos) {
	}

}
