package org.crocuspost.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Switches for the faults of a store stand-in. Safe for use by several threads. Each
 * switch stays as it is set; write faults are used up one by one.
 */
public final class StoreFaults {

	private final Deque<WriteFault> writeFaults = new ArrayDeque<>();

	private boolean down;

	private Duration delay = Duration.ZERO;

	private boolean staleReads;

	/**
	 * Makes every call fail with {@code STORE_UNAVAILABLE}, or ends that.
	 * @param value whether the store is down
	 */
	public synchronized void down(boolean value) {
		this.down = value;
	}

	/**
	 * Makes every call wait before it is carried out.
	 * @param value how long; zero for not at all
	 */
	public synchronized void slow(Duration value) {
		this.delay = value;
	}

	/**
	 * Makes reads see the rows as they were when this switch was turned on.
	 * @param value whether reads are stale
	 */
	public synchronized void staleReads(boolean value) {
		this.staleReads = value;
	}

	/**
	 * Appends faults for the next writes, one each.
	 * @param faults the faults in order; {@link WriteFault#NONE} lets one write pass
	 */
	public synchronized void nextWrites(WriteFault... faults) {
		for (WriteFault fault : faults) {
			this.writeFaults.addLast(fault);
		}
	}

	/**
	 * Turns all faults off.
	 */
	public synchronized void clear() {
		this.writeFaults.clear();
		this.down = false;
		this.delay = Duration.ZERO;
		this.staleReads = false;
	}

	/**
	 * Says whether the store is down.
	 * @return true if it is
	 */
	public synchronized boolean isDown() {
		return this.down;
	}

	/**
	 * Returns how long each call waits.
	 * @return the delay
	 */
	public synchronized Duration delay() {
		return this.delay;
	}

	/**
	 * Says whether reads are stale.
	 * @return true if they are
	 */
	public synchronized boolean hasStaleReads() {
		return this.staleReads;
	}

	/**
	 * Takes the fault of the next write.
	 * @return the fault
	 */
	public synchronized WriteFault takeWriteFault() {
		return this.writeFaults.isEmpty() ? WriteFault.NONE : this.writeFaults.removeFirst();
	}

}
