package org.crocuspost.entry;

import java.time.Duration;

import org.crocuspost.retry.RequestOutcome;

/**
 * Receives each request that was answered. Implementations must not block.
 */
@FunctionalInterface
public interface RequestListener {

	/**
	 * Called when a request was answered.
	 * @param service the name of the service; empty if none matched
	 * @param outcome the outcome
	 * @param latency the time from the arrival of the request to its response
	 */
	void requestEnded(String service, RequestOutcome outcome, Duration latency);

	/**
	 * Called when a request was answered. By default the request ID is ignored.
	 * @param requestId the ID of the request
	 * @param service the name of the service; empty if none matched
	 * @param outcome the outcome
	 * @param latency the time from the arrival of the request to its response
	 */
	default void requestEnded(String requestId, String service, RequestOutcome outcome, Duration latency) {
		requestEnded(service, outcome, latency);
	}

}
