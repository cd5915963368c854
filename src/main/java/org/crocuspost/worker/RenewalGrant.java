package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Permission of the scheduler to continue renewing task leases for a limited time. The
 * time is measured from before the agent sent the report that the scheduler answered, so
 * the permission ends on the clock of the agent before it ends on the clock of the
 * scheduler.
 */
final class RenewalGrant {

	private Stopwatch start;

	private Duration budget = Duration.ZERO;

	RenewalGrant(Clock clock) {
		this.start = Stopwatch.start(clock);
	}

	/**
	 * Revokes the permission that a previous scheduler gave, because its successor has no
	 * record of that permission.
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
		Duration remaining = this.budget.minus(this.start.holderElapsed());
		return remaining.isNegative() ? Duration.ZERO : remaining;
	}

}
