package org.crocuspost.metrics;

import java.util.List;

/**
 * Holds the health of a process at one point in time.
 *
 * @param live whether the liveness checks pass; a process that is not live is replaced
 * @param ready whether the process accepts new work; a load balancer sends none to a
 * process that is not ready
 * @param draining whether the process was asked to stop
 * @param checks the result of each check, liveness checks first
 */
public record HealthReport(boolean live, boolean ready, boolean draining, List<Outcome> checks) {

	public HealthReport {
		checks = List.copyOf(checks);
	}

	/**
	 * Holds the result of one check.
	 *
	 * @param name the name of the check
	 * @param holds whether the condition holds
	 */
	public record Outcome(String name, boolean holds) {
	}

}
