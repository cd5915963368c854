package org.crocuspost.shard;

import java.time.Duration;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableKeys;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;
import org.jspecify.annotations.Nullable;

/**
 * Acquires, renews and releases the scheduling lease of one failure domain for one
 * process.
 *
 * <p>
 * Clocks of different processes are never compared. The holder measures the lease from
 * before it sent the last successful renewal. Every other process measures from when it
 * read the changed row, which is later, and adds a margin for clock drift. Example: the
 * holder sends a renewal at 100.0 s on its clock, so its lease ends at 105.0 s. The row
 * changes at 100.2 s. An observer reads the change at 101.0 s and acquires the lease at
 * 106.5 s at the earliest. An expiry time in the row would require synchronized clocks.
 *
 * <p>
 * The durations only decide when a takeover is attempted. Correctness depends on the
 * version of the row: every transaction of the holder requires it. A write of a holder
 * that was paused after it checked its lease therefore fails.
 *
 * <p>
 * A write whose answer was lost needs no special handling: the next poll reads either the
 * record that was sent or another one.
 */
public final class ShardLease {

	private final String domain;

	private final PeerIdentity self;

	private final ShardLeaseSettings settings;

	private final TableService table;

	private final Clock clock;

	private ShardRecord record;

	private long version = Row.ABSENT;

	private Stopwatch lastChange;

	private @Nullable Stopwatch lastRenewal;

	private @Nullable WriteAttempt lastAttempt;

	/**
	 * Creates a lease that this process does not hold yet.
	 * @param domain the failure domain
	 * @param self the identity of this process
	 * @param settings the durations of the lease
	 * @param table the table service that stores the lease
	 * @param clock the clock
	 */
	public ShardLease(String domain, PeerIdentity self, ShardLeaseSettings settings, TableService table, Clock clock) {
		this.domain = domain;
		this.self = self;
		this.settings = settings;
		this.table = table;
		this.clock = clock;
		this.record = new ShardRecord(domain, "", "", 0, 0, 0);
		this.lastChange = Stopwatch.start(clock);
	}

	/**
	 * Updates the record from a row that was read from the table, then renews the lease
	 * if a renewal is due, or acquires it if it is available.
	 * @param row the row, which may be absent
	 * @param milliCores the processor capacity to write with a renewal, in thousandths of
	 * a core
	 */
	public synchronized void poll(Row row, long milliCores) {
		observe(row);
		if (isHeldBySelf()) {
			if (this.lastRenewal == null
					|| this.lastRenewal.holderElapsed().compareTo(this.settings.renewInterval()) >= 0) {
				write(this.record.withRenewal(milliCores));
			}
		}
		else if (isAvailable()) {
			write(this.record.withHolder(this.self.name(), this.self.incarnation()));
		}
	}

	/**
	 * Renews the lease immediately, so that a transaction that requires the previous
	 * version of the row can no longer take effect.
	 * @return true if the row was written and its version is known
	 */
	public synchronized boolean renewNow() {
		return isHeldBySelf() && write(this.record.withRenewal(this.record.milliCores()));
	}

	/**
	 * Releases the lease, so that another process can acquire it immediately.
	 */
	public synchronized void release() {
		if (isHeldBySelf()) {
			write(this.record.withoutHolder());
		}
	}

	/**
	 * Returns a token that proves that this process holds a valid lease.
	 * @return the token, or none if this process does not hold the lease or the lease has
	 * expired
	 */
	public synchronized Option<ShardToken> token() {
		if (!isHeldBySelf() || this.lastRenewal == null
				|| this.lastRenewal.holderElapsed().compareTo(this.settings.lease()) >= 0) {
			return Option.none();
		}
		return Option.of(new ShardToken(this.domain, this.record.epoch(), this.version));
	}

	/**
	 * Returns the record that this process has read or written last.
	 * @return the record
	 */
	public synchronized ShardRecord record() {
		return this.record;
	}

	/**
	 * Returns the time since the last successful renewal was sent. The value is also
	 * available while the store is down and the lease cannot be renewed.
	 * @return the elapsed time, or none if this process did not hold the lease when it
	 * last read the row
	 */
	public synchronized Option<Duration> timeSinceRenewal() {
		return isHeldBySelf() ? Option.of(this.lastRenewal).map(Stopwatch::holderElapsed) : Option.none();
	}

	private boolean isHeldBySelf() {
		return this.record.heldBy(this.self.name(), this.self.incarnation());
	}

	private boolean isAvailable() {
		return this.record.released()
				|| this.lastChange.observerElapsed().compareTo(this.settings.takeoverDelay()) >= 0;
	}

	private void observe(Row row) {
		if (row.version() <= this.version) {
			return;
		}
		ShardRecord seen = ShardRecord.read(this.domain, row).getOrElseGet((reason) -> {
			EventLog.warn(ShardEvent.SHARD_ROW_IGNORED, Field.of("key", row.key()), Field.of("version", row.version()),
					Field.of("reason", reason));
			return ShardRecord.ofMalformed(this.domain, row);
		});
		if (this.lastAttempt != null && this.lastAttempt.record().equals(seen)) {
			this.lastRenewal = this.lastAttempt.sendStopwatch();
		}
		updateRecord(seen, row.version());
	}

	private void updateRecord(ShardRecord seen, long seenVersion) {
		this.record = seen;
		this.version = seenVersion;
		this.lastChange = Stopwatch.start(this.clock);
		if (!isHeldBySelf()) {
			this.lastRenewal = null;
		}
	}

	private boolean write(ShardRecord next) {
		WriteAttempt attempt = attemptFor(next);
		this.lastAttempt = attempt;
		String key = TableKeys.shard(this.domain);
		Either<Failure, CommitResult> result = this.table
			.commit(Transaction.empty().require(key, this.version).put(key, Json.write(next)));
		if (result.isRight() && result.get() instanceof CommitResult.Committed committed) {
			this.lastRenewal = attempt.sendStopwatch();
			updateRecord(next, committed.rows().head().version());
			return true;
		}
		if (result.isRight() && result.get() instanceof CommitResult.Conflict conflict) {
			conflict.rows().forEach(this::observe);
		}
		return false;
	}

	// A repeated write is timed from when it was first sent, because that write may have
	// taken effect.
	private WriteAttempt attemptFor(ShardRecord next) {
		if (this.lastAttempt != null && this.lastAttempt.record().equals(next)) {
			return this.lastAttempt;
		}
		return new WriteAttempt(next, Stopwatch.start(this.clock));
	}

	private record WriteAttempt(ShardRecord record, Stopwatch sendStopwatch) {
	}

}
