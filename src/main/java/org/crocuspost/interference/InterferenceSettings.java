package org.crocuspost.interference;

import java.time.Duration;

/**
 * Settings of the control of interference on one worker.
 *
 * @param interval the time between two decisions
 * @param toleratedSlowdown the slowdown of the service that batch work may cause, for
 * example 1.1
 * @param highPressure the tail latency relative to the objective from which batch work
 * must yield
 * @param relaxedPressure the tail latency relative to the objective up to which batch
 * work may slow the service down by more than tolerated
 * @param leastPercent the least processor share of an attempt
 * @param recoveryPercent the most by which a share rises in one interval
 * @param evictionPatience how long an attempt stays at the least share before its
 * eviction is requested
 * @param evictionInterval the mean time between two evictions that one worker may request
 * @param evictionBurst the number of evictions that one worker may request at once
 */
public record InterferenceSettings(Duration interval, double toleratedSlowdown, double highPressure,
		double relaxedPressure, int leastPercent, int recoveryPercent, Duration evictionPatience,
		Duration evictionInterval, int evictionBurst) {

	/**
	 * Settings for a first deployment.
	 */
	public static final InterferenceSettings DEFAULT = new InterferenceSettings(Duration.ofSeconds(1), 1.08, 0.9, 0.4,
			5, 10, Duration.ofSeconds(180), Duration.ofMinutes(10), 1);

	public InterferenceSettings {
		if (toleratedSlowdown <= 1) {
			throw new IllegalArgumentException("toleratedSlowdown must be above 1");
		}
		if (leastPercent < 0 || leastPercent > 100) {
			throw new IllegalArgumentException("leastPercent must be between 0 and 100");
		}
		if (recoveryPercent < 1) {
			throw new IllegalArgumentException("recoveryPercent must be positive");
		}
	}

}
