package org.crocuspost.metrics;

import java.util.List;

/**
 * Evaluates the health checks of a process. Liveness and readiness are separate: a
 * process that cannot reach the platform's store is not ready but stays live, because
 * replacing it would not help.
 */
public final class Health {

	private final List<HealthCheck> liveness;

	private final List<HealthCheck> readiness;

	private volatile boolean draining;

	/**
	 * Creates the health of a process.
	 * @param liveness checks of which a failure means that the process must be replaced
	 * @param readiness checks of which a failure means that the process accepts no new
	 * work
	 */
	public Health(List<HealthCheck> liveness, List<HealthCheck> readiness) {
		this.liveness = List.copyOf(liveness);
		this.readiness = List.copyOf(readiness);
	}

	/**
	 * Marks the process as not ready until it ends. This is the first step of a graceful
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
