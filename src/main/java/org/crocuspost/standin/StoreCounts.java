package org.crocuspost.standin;

/**
 * Calls that a store stand-in has received since it was created, failed ones included.
 *
 * @param reads calls that read
 * @param writes calls that write; a transaction counts once
 * @param itemsRead rows or objects that were returned
 * @param itemsWritten rows or objects that were written or deleted
 */
public record StoreCounts(long reads, long writes, long itemsRead, long itemsWritten) {

	/**
	 * Subtracts earlier counts.
	 * @param earlier the counts at an earlier time
	 * @return the calls between the two times
	 */
	public StoreCounts since(StoreCounts earlier) {
		return new StoreCounts(this.reads - earlier.reads, this.writes - earlier.writes,
				this.itemsRead - earlier.itemsRead, this.itemsWritten - earlier.itemsWritten);
	}

}
