package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * The scheduler's permission to go on renewing task leases. It counts from before the
 * report was sent that the scheduler answered, so it ends on the agent's clock before it
 * ends on the scheduler's.
 */
final class RenewalGrant {

	private Stopwatch start;

	private Duration budget = Duration.ZERO;

	RenewalGrant(Clock clock) {
		this.start = Stopwatch.start(clock);
	}

	/**
	 * Forgets what an earlier scheduler permitted. The new one does not know of it.
	 */
	void revoke() {
		this.budget = Duration.ZERO;
	}

	void extend(Stopwatch reportSent, Duration newBudget) {
		if (newBudget.minus(reportSent.holderElapsed()).compareTo(remaining()) > 0) {
			this.start = reportSent;
			this.budget = newBudget;
		}
	}

	Duration remaining() {
		Duration left = this.budget.minus(this.start.holderElapsed());
		return left.isNegative() ? Duration.ZERO : left;
	}

}
