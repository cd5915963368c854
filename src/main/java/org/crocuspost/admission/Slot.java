package org.crocuspost.admission;

/**
 * Slot of the endpoint that a request occupies. The number of slots limits the requests
 * that run concurrently.
 */
@FunctionalInterface
interface Slot {

	/**
	 * Releases the slot. Calls after the first have no effect.
	 */
	void release();

}
