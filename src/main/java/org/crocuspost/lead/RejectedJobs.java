package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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
 * cannot contain that condition: a leader whose transaction is not applied has lost its
 * leadership. A removal by a former leader is harmless for the same reason: it removes
 * only a row that has not changed for the whole retention.
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

	private long removedNanos;

	private boolean busy;

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
		if (this.busy || now - this.removedNanos < LeadershipTimings.REJECTED_JOBS_INTERVAL.toNanos()) {
			return;
		}
		this.removedNanos = now;
		List<RowTransaction.Condition> conditions = new ArrayList<>();
		List<RowTransaction.Removal> removals = new ArrayList<>();
		for (Map.Entry<String, Seen> entry : this.seen.entrySet()) {
			// The rows are in the order in which they were seen.
			if (conditions.size() >= MAXIMUM_ROWS || now - entry.getValue().nanos() < this.retention.toNanos()) {
				break;
			}
			conditions.add(new RowTransaction.Condition(Tables.INTAKE, entry.getKey(), entry.getValue().version()));
			removals.add(new RowTransaction.Removal(Tables.INTAKE, entry.getKey()));
		}
		if (conditions.isEmpty()) {
			return;
		}
		this.busy = true;
		this.store.commit(new RowTransaction(conditions, List.of(), removals), (answer) -> {
			this.busy = false;
			if (answer.isLeft()) {
				return;
			}
			if (answer.get().applied()) {
				conditions.forEach((condition) -> this.seen.remove(condition.key()));
				EventLog.info(LeadEvent.REJECTED_JOBS_REMOVED, Field.of("rows", removals.size()));
			}
			else {
				answer.get().current().forEach(this::forgetIfChanged);
			}
		});
	}

	private void forgetIfChanged(StoredRow row) {
		Seen noted = this.seen.get(row.key());
		if (noted != null && noted.version() != row.version()) {
			this.seen.remove(row.key());
		}
	}

	int size() {
		return this.seen.size();
	}

	private record Seen(long version, long nanos) {
	}

}
