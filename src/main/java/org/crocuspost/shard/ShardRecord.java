package org.crocuspost.shard;

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
	 * Reads the record from a row.
	 * @param domain the failure domain
	 * @param row the row, which may be absent
	 * @return the record; without a holder if the row is absent
	 */
	public static ShardRecord from(String domain, Row row) {
		return row.exists() ? Json.read(row.value(), ShardRecord.class) : new ShardRecord(domain, "", "", 0, 0, 0);
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
