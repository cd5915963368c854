package org.crocuspost.interference;

/**
 * Takes requests to evict attempts. The scheduler decides.
 */
@FunctionalInterface
public interface EvictionRequests {

	/**
	 * Asks for the eviction of an attempt. Must not block. The controller asks again
	 * after a while if the attempt still runs and still disturbs.
	 * @param request the attempt with the evidence against it
	 */
	void request(EvictionRequest request);

}
