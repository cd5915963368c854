package org.crocuspost.membership;

import org.crocuspost.platform.table.Row;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Tracks the changes of one row that this process has observed. The clocks of different
 * processes are not compared: a process is live if the observer has seen its row change
 * within the lease, measured by the clock of the observer.
 */
final class ObservedMember {

	private final Clock clock;

	private MemberRecord record;

	private long version;

	private Stopwatch sinceChange;

	ObservedMember(Row row, Clock clock) {
		this.clock = clock;
		this.record = MemberRecord.of(row);
		this.version = row.version();
		this.sinceChange = Stopwatch.start(clock);
	}

	/**
	 * Records the row if its version is newer. Any other version comes from a lagging
	 * replica and is ignored.
	 * @param row the row that was read
	 */
	void observe(Row row) {
		if (row.version() > this.version) {
			this.version = row.version();
			this.record = MemberRecord.of(row);
			this.sinceChange = Stopwatch.start(this.clock);
		}
	}

	/**
	 * Restarts the time without change, because changes could not be observed during an
	 * outage of the table.
	 */
	void restartLease() {
		this.sinceChange = Stopwatch.start(this.clock);
	}

	boolean isLive(MembershipSettings settings) {
		return !this.record.leaving() && this.sinceChange.observerElapsed().compareTo(settings.leaseDuration()) < 0;
	}

	boolean isExpired(MembershipSettings settings) {
		return this.sinceChange.observerElapsed().compareTo(settings.rowRetention()) >= 0;
	}

	MemberRecord record() {
		return this.record;
	}

	long version() {
		return this.version;
	}

}
