package org.crocuspost.gate;

import java.time.Duration;

/**
 * Is told how long an endpoint took for an answer. Called on network threads, so an
 * implementation must not block.
 */
@FunctionalInterface
public interface LatencyListener {

	/**
	 * An endpoint answered.
	 * @param latency the time from sending the request to the end of the answer
	 */
	void answered(Duration latency);

}
