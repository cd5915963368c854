package org.crocuspost.shard;

import java.util.Objects;

import io.vavr.control.Either;
import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;

/**
 * Holds the contents of the table row of a scheduling lease.
 *
 * @param domain the failure domain
 * @param holder the name of the scheduler that holds the lease; empty if it was released
 * @param incarnation the incarnation of the holder; empty if the lease was released
 * @param epoch the fencing token; increases each time a process acquires the lease
 * @param renewal a counter that increases with every write of the row
 * @param milliCores the processor capacity of the workers that report to the holder, in
 * thousandths of a core
 */
public record ShardRecord(String domain, String holder, String incarnation, long epoch, long renewal, long milliCores) {

	/**
	 * Name of the holder if the row is malformed. No process has it.
	 */
	private static final String UNKNOWN_HOLDER = "(unknown)";

	public ShardRecord {
		Objects.requireNonNull(domain, "domain");
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(incarnation, "incarnation");
	}

	/**
	 * Reads the record from a row.
	 * @param domain the failure domain
	 * @param row the row, which may be absent
	 * @return the record, without a holder if the row is absent; or why the row holds
	 * none
	 */
	public static Either<String, ShardRecord> read(String domain, Row row) {
		return row.exists() ? Json.parse(row.value(), ShardRecord.class)
				: Either.right(new ShardRecord(domain, "", "", 0, 0, 0));
	}

	/**
	 * Returns what stands for a malformed row: a holder that does not renew its lease.
	 * @param domain the failure domain
	 * @param row the row. Each epoch began with a write of it, so no epoch is higher than
	 * its version
	 * @return the record
	 */
	static ShardRecord ofMalformed(String domain, Row row) {
		return new ShardRecord(domain, UNKNOWN_HOLDER, "", row.version(), 0, 0);
	}

	/**
	 * Returns whether a process holds the lease according to this record.
	 * @param processName the name of the process
	 * @param processIncarnation the incarnation of the process
	 * @return true if it does
	 */
	public boolean heldBy(String processName, String processIncarnation) {
		return this.holder.equals(processName) && this.incarnation.equals(processIncarnation);
	}

	/**
	 * Returns whether the lease has no holder because it was released or never acquired.
	 * @return true if no process holds the lease
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

	ShardRecord withHolder(String newHolder, String newIncarnation) {
		return new ShardRecord(this.domain, newHolder, newIncarnation, this.epoch + 1, this.renewal + 1,
				this.milliCores);
	}

	ShardRecord withRenewal(long newMilliCores) {
		return new ShardRecord(this.domain, this.holder, this.incarnation, this.epoch, this.renewal + 1, newMilliCores);
	}

	ShardRecord withoutHolder() {
		return new ShardRecord(this.domain, "", "", this.epoch, this.renewal + 1, this.milliCores);
	}

}
