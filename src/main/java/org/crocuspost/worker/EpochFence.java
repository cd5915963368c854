package org.crocuspost.worker;

/**
 * Rejects messages from a scheduler that has lost its lease, by comparing fencing tokens.
 */
final class EpochFence {

	private long highest;

	/**
	 * Compares a fencing token with the highest one received so far, and stores it if it
	 * is higher.
	 * @param epoch the fencing token; 0 if the sender holds no lease
	 * @return false if a higher token has been received or the sender holds no lease
	 */
	boolean admit(long epoch) {
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
