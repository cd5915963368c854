package org.crocuspost.interference;

/**
 * Requests the eviction of attempts. The scheduler decides.
 */
@FunctionalInterface
public interface EvictionRequester {

	/**
	 * Asks for the eviction of an attempt. Must not block. The controller asks again
	 * after a while if the attempt is still running and still interferes.
	 * @param request the attempt with the evidence of its interference
	 */
	void request(EvictionRequest request);

}
