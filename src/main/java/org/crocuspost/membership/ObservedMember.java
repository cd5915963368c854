package org.crocuspost.membership;

import java.util.Optional;

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

	private final MalformedRows malformedRows;

	private Optional<MemberRecord> record;

	private long version;

	private Stopwatch sinceChange;

	ObservedMember(Row row, Clock clock, MalformedRows malformedRows) {
		this.clock = clock;
		this.malformedRows = malformedRows;
		this.record = read(row);
		this.version = row.version();
		this.sinceChange = Stopwatch.start(clock);
	}

	/**
	 * Records the row if its version is newer. Any other version comes from a lagging
	 * replica and is ignored. A malformed row renews nothing: the record before it holds
	 * until its lease expires.
	 * @param row the row that was read
	 */
	void observe(Row row) {
		if (row.version() > this.version) {
			this.version = row.version();
			Optional<MemberRecord> seen = read(row);
			if (seen.isPresent()) {
				this.record = seen;
				this.sinceChange = Stopwatch.start(this.clock);
			}
		}
	}

	private Optional<MemberRecord> read(Row row) {
		return MemberRecord.of(row).peekLeft((reason) -> this.malformedRows.log(row, reason)).toJavaOptional();
	}

	/**
	 * Restarts the time without change, because changes could not be observed during an
	 * outage of the table.
	 */
	void restartLease() {
		this.sinceChange = Stopwatch.start(this.clock);
	}

	boolean isLive(MembershipSettings settings) {
		return this.record.filter((member) -> !member.leaving()).isPresent()
				&& this.sinceChange.observerElapsed().compareTo(settings.leaseDuration()) < 0;
	}

	boolean isExpired(MembershipSettings settings) {
		return this.sinceChange.observerElapsed().compareTo(settings.rowRetention()) >= 0;
	}

	/**
	 * Returns the newest record of the row that could be decoded.
	 * @return the record; there is one whenever the member is live
	 */
	MemberRecord record() {
		return this.record.orElseThrow();
	}

	long version() {
		return this.version;
	}

}
