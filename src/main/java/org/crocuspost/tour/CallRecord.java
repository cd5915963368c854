package org.crocuspost.tour;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller saw of one request.
 *
 * @param marker the unique text that the request carried
 * @param idempotent whether the request may run more than once
 * @param status the HTTP status; 0 if no answer came
 * @param verdict the label of the verdict; empty if no answer came
 * @param ownAnswer whether the answer was complete and belonged to the request
 * @param latency the time from the intended send time to the answer
 */
public record CallRecord(String marker, boolean idempotent, int status, String verdict, boolean ownAnswer,
		Duration latency) {

	private static final int SUCCESS_STATUS = 200;

	public CallRecord {
		Objects.requireNonNull(marker, "marker");
		Objects.requireNonNull(verdict, "verdict");
	}

	/**
	 * Says whether the caller got what it asked for.
	 * @return true for a successful answer
	 */
	public boolean succeeded() {
		return this.status == SUCCESS_STATUS;
	}

}
