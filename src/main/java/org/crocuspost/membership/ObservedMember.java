package org.crocuspost.membership;

import org.crocuspost.platform.table.Row;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * What this process has seen of one row. No clocks of two processes are compared: a
 * process is live while this process has seen its row change within the lease, on its own
 * clock.
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
	 * Takes in the row. A version that is not newer comes from a lagging replica.
	 * @param row the row
	 */
	void observe(Row row) {
		if (row.version() > this.version) {
			this.version = row.version();
			this.record = MemberRecord.of(row);
			this.sinceChange = Stopwatch.start(this.clock);
		}
	}

	/**
	 * Starts the time without change anew, because nothing could be seen.
	 */
	void grantGrace() {
		this.sinceChange = Stopwatch.start(this.clock);
	}

	boolean live(MembershipSettings settings) {
		return !this.record.leaving() && this.sinceChange.observerElapsed().compareTo(settings.lease()) < 0;
	}

	boolean forgettable(MembershipSettings settings) {
		return this.sinceChange.observerElapsed().compareTo(settings.rowRetention()) >= 0;
	}

	MemberRecord record() {
		return this.record;
	}

	long version() {
		return this.version;
	}

}
