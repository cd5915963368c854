package org.crocuspost.admission;

import java.time.Duration;

/**
 * Receives the latency of each answer of an endpoint. It is called on network threads, so
 * implementations must not block.
 */
@FunctionalInterface
public interface LatencyListener {

	/**
	 * Called when an endpoint has answered.
	 * @param latency the time from sending the request to the end of the answer
	 */
	void answered(Duration latency);

}
