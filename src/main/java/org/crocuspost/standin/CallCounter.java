package org.crocuspost.standin;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls to a store stand-in.
 */
public final class CallCounter {

	private final LongAdder reads = new LongAdder();

	private final LongAdder writes = new LongAdder();

	private final LongAdder itemsRead = new LongAdder();

	private final LongAdder itemsWritten = new LongAdder();

	/**
	 * Counts a call that reads.
	 */
	public void read() {
		this.reads.increment();
	}

	/**
	 * Counts a call that writes.
	 */
	public void write() {
		this.writes.increment();
	}

	/**
	 * Counts items that a call returned.
	 * @param items the number of items
	 */
	public void returned(int items) {
		this.itemsRead.add(items);
	}

	/**
	 * Counts items that a call changed.
	 * @param items the number of items
	 */
	public void changed(int items) {
		this.itemsWritten.add(items);
	}

	/**
	 * Returns the counts so far.
	 * @return the counts
	 */
	public StoreCounts counts() {
		return new StoreCounts(this.reads.sum(), this.writes.sum(), this.itemsRead.sum(), this.itemsWritten.sum());
	}

}
