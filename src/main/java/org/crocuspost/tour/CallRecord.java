package org.crocuspost.tour;

import java.time.Duration;
import java.util.Objects;

/**
 * Records the result of one request as the caller observed it.
 *
 * @param marker the unique text that the request contained
 * @param idempotent whether the request may run more than once
 * @param status the HTTP status; 0 if no response was received
 * @param verdict the label of the verdict; empty if no response was received
 * @param answerMatches whether the response was complete and belonged to the request
 * @param latency the time from the intended send time to the response or the failure
 */
public record CallRecord(String marker, boolean idempotent, int status, String verdict, boolean answerMatches,
		Duration latency) {

	private static final int SUCCESS_STATUS = 200;

	public CallRecord {
		Objects.requireNonNull(marker, "marker");
		Objects.requireNonNull(verdict, "verdict");
	}

	/**
	 * Returns whether the request succeeded.
	 * @return true if the status is 200
	 */
	public boolean succeeded() {
		return this.status == SUCCESS_STATUS;
	}

}
