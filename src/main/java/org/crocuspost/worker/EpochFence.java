package org.crocuspost.worker;

/**
 * Refuses messages of a scheduler that has lost its lease.
 */
final class EpochFence {

	private long highest;

	/**
	 * Compares a fencing token with the highest seen so far and remembers it if it is
	 * higher.
	 * @param epoch the fencing token; 0 if the sender holds no lease
	 * @return false if a higher one has been seen or the sender holds no lease
	 */
	boolean admits(long epoch) {
		if (epoch == 0 || epoch < this.highest) {
			return false;
		}
		this.highest = epoch;
		return true;
	}

	long highest() {
		return this.highest;
	}

}
