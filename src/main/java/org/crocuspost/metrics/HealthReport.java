package org.crocuspost.metrics;

import java.util.List;

/**
 * Health of a process at one time.
 *
 * @param live whether the process works at all; a process that is not live is replaced
 * @param ready whether the process takes new work; a balancer sends none to a process
 * that is not ready
 * @param draining whether the process was asked to stop
 * @param checks the outcome of each check
 */
public record HealthReport(boolean live, boolean ready, boolean draining, List<Outcome> checks) {

	public HealthReport {
		checks = List.copyOf(checks);
	}

	/**
	 * Outcome of one check.
	 *
	 * @param name the name of the check
	 * @param holds whether the condition holds
	 */
	public record Outcome(String name, boolean holds) {
	}

}
