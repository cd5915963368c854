package org.crocuspost.dispatch;

import java.time.Duration;

/**
 * What the leader knows outside of the dispatcher about its permission to start tasks.
 *
 * @param takeoverNanos when this leader took over, in nanoseconds of the process clock
 * @param mayStart whether the store confirms the leader and its view of the operator's
 * rows is recent enough to start tasks
 * @param confirmationAge the time since the last transaction that the store has confirmed
 * was sent
 * @param operatorViewAge the age of the view of the operator's rows
 */
public record StartConditions(long takeoverNanos, boolean mayStart, Duration confirmationAge,
		Duration operatorViewAge) {

	Duration oldest() {
		return (this.confirmationAge.compareTo(this.operatorViewAge) > 0) ? this.confirmationAge : this.operatorViewAge;
	}

}
