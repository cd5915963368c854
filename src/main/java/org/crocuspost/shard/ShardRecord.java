package org.crocuspost.shard;

import org.crocuspost.json.Json;
import org.crocuspost.platform.table.Row;

/**
 * Row of a scheduling lease in the table.
 *
 * @param domain the failure domain
 * @param holder the name of the scheduler that holds the lease; empty if it was released
 * @param incarnation the incarnation of the holder
 * @param epoch the fencing token; rises with every change of holder
 * @param renewal rises with every renewal
 * @param milliCores the processor capacity of the workers that report to the holder
 */
public record ShardRecord(String domain, String holder, String incarnation, long epoch, long renewal, long milliCores) {

	/**
	 * Reads a row.
	 * @param domain the failure domain
	 * @param row the row, which may be absent
	 * @return the record; without holder if the row is absent
	 */
	public static ShardRecord from(String domain, Row row) {
		return row.exists() ? Json.read(row.value(), ShardRecord.class) : new ShardRecord(domain, "", "", 0, 0, 0);
	}

	/**
	 * Says whether a process holds the lease according to this row.
	 * @param name the name of the process
	 * @param ofIncarnation the incarnation of the process
	 * @return true if it does
	 */
	public boolean heldBy(String name, String ofIncarnation) {
		return this.holder.equals(name) && this.incarnation.equals(ofIncarnation);
	}

	/**
	 * Says whether the holder has given the lease back.
	 * @return true if nobody holds the lease
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

	ShardRecord taken(String name, String byIncarnation) {
		return new ShardRecord(this.domain, name, byIncarnation, this.epoch + 1, this.renewal + 1, this.milliCores);
	}

	ShardRecord renewed(long capacity) {
		return new ShardRecord(this.domain, this.holder, this.incarnation, this.epoch, this.renewal + 1, capacity);
	}

	ShardRecord givenBack() {
		return new ShardRecord(this.domain, "", "", this.epoch, this.renewal + 1, this.milliCores);
	}

}
