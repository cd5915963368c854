package org.crocuspost.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Faults that a store stand-in simulates. Safe for use by several threads. Each setting
 * stays in force until it is changed; write faults apply to one write each.
 */
public final class StoreFaults {

	private final Deque<WriteFault> writeFaults = new ArrayDeque<>();

	private boolean down;

	private Duration delay = Duration.ZERO;

	private boolean staleReads;

	/**
	 * Sets whether every call fails with {@code STORE_UNAVAILABLE}.
	 * @param value whether the store is down
	 */
	public synchronized void down(boolean value) {
		this.down = value;
	}

	/**
	 * Sets how long every call waits before it is executed.
	 * @param value the delay; zero for none
	 */
	public synchronized void delayCalls(Duration value) {
		this.delay = value;
	}

	/**
	 * Sets whether reads are stale, that is, return the data as it was when stale reads
	 * were turned on.
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
	 * Clears all faults.
	 */
	public synchronized void clear() {
		this.writeFaults.clear();
		this.down = false;
		this.delay = Duration.ZERO;
		this.staleReads = false;
	}

	/**
	 * Returns whether the store is down.
	 * @return true if it is
	 */
	public synchronized boolean isDown() {
		return this.down;
	}

	/**
	 * Returns how long each call waits before it is executed.
	 * @return the delay
	 */
	public synchronized Duration delay() {
		return this.delay;
	}

	/**
	 * Returns whether reads are stale.
	 * @return true if they are
	 */
	public synchronized boolean hasStaleReads() {
		return this.staleReads;
	}

	/**
	 * Removes and returns the fault of the next write.
	 * @return the fault; {@link WriteFault#NONE} if none is set
	 */
	public synchronized WriteFault takeWriteFault() {
		return this.writeFaults.isEmpty() ? WriteFault.NONE : this.writeFaults.removeFirst();
	}

}
