package org.crocuspost.metrics;

import java.util.List;

/**
 * Health of a process. Liveness and readiness are apart: a process without the platform's
 * store stays live, and replacing it would not help.
 */
public final class Health {

	private final List<HealthCheck> liveness;

	private final List<HealthCheck> readiness;

	private volatile boolean draining;

	/**
	 * Creates the health of a process.
	 * @param liveness conditions without which the process must be replaced
	 * @param readiness conditions without which the process takes no new work
	 */
	public Health(List<HealthCheck> liveness, List<HealthCheck> readiness) {
		this.liveness = List.copyOf(liveness);
		this.readiness = List.copyOf(readiness);
	}

	/**
	 * Makes the process not ready for the rest of its life. First step of a graceful
	 * stop.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Evaluates all checks.
	 * @return the report
	 */
	public HealthReport report() {
		List<HealthReport.Outcome> live = evaluate(this.liveness);
		List<HealthReport.Outcome> ready = evaluate(this.readiness);
		boolean isLive = live.stream().allMatch(HealthReport.Outcome::holds);
		boolean isReady = isLive && !this.draining && ready.stream().allMatch(HealthReport.Outcome::holds);
		return new HealthReport(isLive, isReady, this.draining,
				java.util.stream.Stream.concat(live.stream(), ready.stream()).toList());
	}

	private static List<HealthReport.Outcome> evaluate(List<HealthCheck> checks) {
		return checks.stream()
			.map((check) -> new HealthReport.Outcome(check.name(), check.holds().getAsBoolean()))
			.toList();
	}

}
