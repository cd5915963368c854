package org.crocuspost.shard;

import java.time.Duration;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
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
 * The scheduling lease of one failure domain as one process sees it.
 *
 * <p>
 * No two clocks are compared. The holder counts the lease from before it sent the renewal
 * that succeeded. Every other process counts from when it saw the row change, which is
 * later, and waits longer by a margin for clocks that run at different speeds. Example:
 * the holder sends a renewal at its 100.0 s, so its lease ends at 105.0 s. The row
 * changes at 100.2 s, an observer sees that at 101.0 s and takes the lease at 106.5 s at
 * the earliest. An expiry time in the row would need synchronized clocks instead.
 *
 * <p>
 * The times only decide when a takeover is tried. Correctness rests on the version of the
 * row: every transaction of the holder requires it. A write of a holder that was paused
 * after it checked its lease therefore fails.
 *
 * <p>
 * A write whose answer was lost needs no special treatment: the next poll finds either
 * the record that was sent or another one.
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

	private @Nullable Stopwatch renewed;

	private @Nullable Attempt attempted;

	/**
	 * Creates the view of a lease.
	 * @param domain the failure domain
	 * @param self this process
	 * @param settings the times
	 * @param table the table service
	 * @param clock the clock
	 */
	public ShardLease(String domain, PeerIdentity self, ShardLeaseSettings settings, TableService table, Clock clock) {
		this.domain = domain;
		this.self = self;
		this.settings = settings;
		this.table = table;
		this.clock = clock;
		this.record = ShardRecord.from(domain, Row.absent(TableKeys.shard(domain)));
		this.lastChange = Stopwatch.start(clock);
	}

	/**
	 * Takes in the row as read from the table, then renews or takes the lease if due.
	 * @param row the row, which may be absent
	 * @param milliCores the processor capacity to write with the lease
	 */
	public synchronized void poll(Row row, long milliCores) {
		observe(row);
		if (mine()) {
			if (this.renewed == null || this.renewed.holderElapsed().compareTo(this.settings.renewInterval()) >= 0) {
				write(this.record.renewed(milliCores));
			}
		}
		else if (free()) {
			write(this.record.taken(this.self.name(), this.self.incarnation()));
		}
	}

	/**
	 * Renews the lease now, so that no transaction that required the former version of
	 * the row can take effect any more.
	 * @return true if the row was written and its version is known
	 */
	public synchronized boolean renewNow() {
		return mine() && write(this.record.renewed(this.record.milliCores()));
	}

	/**
	 * Gives the lease back, so that another process can take it at once.
	 */
	public synchronized void release() {
		if (mine()) {
			write(this.record.givenBack());
		}
	}

	/**
	 * Returns the proof of a valid lease.
	 * @return the token, or none if this process does not hold the lease or its time has
	 * run out
	 */
	public synchronized Option<ShardToken> token() {
		if (!mine() || this.renewed == null || this.renewed.holderElapsed().compareTo(this.settings.lease()) >= 0) {
			return Option.none();
		}
		return Option.of(new ShardToken(this.domain, this.record.epoch(), this.version));
	}

	/**
	 * Returns the record that this process has seen last.
	 * @return the record
	 */
	public synchronized ShardRecord record() {
		return this.record;
	}

	/**
	 * Returns how long ago the last renewal that succeeded was sent. Also known while the
	 * store is down and the lease cannot be renewed.
	 * @return the elapsed time, or none if this process did not hold the lease when it
	 * last read the row
	 */
	public synchronized Option<Duration> timeSinceRenewal() {
		return mine() ? Option.of(this.renewed).map(Stopwatch::holderElapsed) : Option.none();
	}

	private boolean mine() {
		return this.record.heldBy(this.self.name(), this.self.incarnation());
	}

	private boolean free() {
		return this.record.released() || this.lastChange.observerElapsed().compareTo(this.settings.observerWait()) >= 0;
	}

	private void observe(Row row) {
		if (row.version() <= this.version) {
			return;
		}
		ShardRecord seen = ShardRecord.from(this.domain, row);
		if (this.attempted != null && this.attempted.record().equals(seen)) {
			this.renewed = this.attempted.sent();
		}
		accept(seen, row.version());
	}

	private void accept(ShardRecord seen, long seenVersion) {
		this.record = seen;
		this.version = seenVersion;
		this.lastChange = Stopwatch.start(this.clock);
		if (!mine()) {
			this.renewed = null;
		}
	}

	private boolean write(ShardRecord next) {
		Attempt attempt = attempt(next);
		this.attempted = attempt;
		String key = TableKeys.shard(this.domain);
		Either<Failure, CommitResult> result = this.table
			.commit(Transaction.empty().require(key, this.version).put(key, Json.write(next)));
		if (result.isRight() && result.get() instanceof CommitResult.Committed committed) {
			this.renewed = attempt.sent();
			accept(next, committed.rows().head().version());
			return true;
		}
		if (result.isRight() && result.get() instanceof CommitResult.Conflict conflict) {
			conflict.rows().forEach(this::observe);
		}
		return false;
	}

	// A write that is sent again counts from its first sending, which may have taken
	// effect.
	private Attempt attempt(ShardRecord next) {
		if (this.attempted != null && this.attempted.record().equals(next)) {
			return this.attempted;
		}
		return new Attempt(next, Stopwatch.start(this.clock));
	}

	private record Attempt(ShardRecord record, Stopwatch sent) {
	}

}
