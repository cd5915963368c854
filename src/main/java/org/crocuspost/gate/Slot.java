package org.crocuspost.gate;

/**
 * A slot of the endpoint that a request holds.
 */
@FunctionalInterface
interface Slot {

	/**
	 * Gives the slot back. Has an effect the first time only.
	 */
	void release();

}
