package org.crocuspost.entry;

import java.time.Duration;

import org.crocuspost.retry.RequestOutcome;

/**
 * Is told of each request that was answered. Must not block.
 */
@FunctionalInterface
public interface RequestListener {

	/**
	 * A request was answered.
	 * @param service the name of the service; empty if none matched
	 * @param outcome the outcome
	 * @param latency the time from the arrival of the request to its answer
	 */
	void requestEnded(String service, RequestOutcome outcome, Duration latency);

	/**
	 * A request was answered. By default the identity is dropped.
	 * @param requestId the identity of the request
	 * @param service the name of the service; empty if none matched
	 * @param outcome the outcome
	 * @param latency the time from the arrival of the request to its answer
	 */
	default void requestEnded(String requestId, String service, RequestOutcome outcome, Duration latency) {
		requestEnded(service, outcome, latency);
	}

}
