package org.crocuspost.interference;

import java.time.Duration;

/**
 * Settings of interference control on one worker.
 *
 * @param interval the time between two control decisions
 * @param toleratedSlowdown the factor by which batch work may slow the service down, for
 * example 1.1
 * @param highPressure the tail latency divided by the objective above which the tolerated
 * slowdown is reduced
 * @param lowPressure the tail latency divided by the objective up to which batch work may
 * exceed the tolerated slowdown
 * @param minSharePercent the minimum processor share of an attempt in percent
 * @param maxIncreasePercent the maximum increase of a share in one interval, in
 * percentage points
 * @param evictionDelay how long an attempt stays at the minimum share before its eviction
 * is requested
 * @param evictionInterval the mean time between two evictions that one worker may request
 * @param evictionBurst the number of evictions that one worker may request at once
 */
public record InterferenceSettings(Duration interval, double toleratedSlowdown, double highPressure, double lowPressure,
		int minSharePercent, int maxIncreasePercent, Duration evictionDelay, Duration evictionInterval,
		int evictionBurst) {

	/**
	 * Default settings for a first deployment.
	 */
	public static final InterferenceSettings DEFAULT = new InterferenceSettings(Duration.ofSeconds(1), 1.08, 0.9, 0.4,
			5, 10, Duration.ofSeconds(180), Duration.ofMinutes(10), 1);

	public InterferenceSettings {
		if (toleratedSlowdown <= 1) {
			throw new IllegalArgumentException("toleratedSlowdown must be above 1");
		}
		if (minSharePercent < 0 || minSharePercent > 100) {
			throw new IllegalArgumentException("minSharePercent must be between 0 and 100");
		}
		if (maxIncreasePercent < 1) {
			throw new IllegalArgumentException("maxIncreasePercent must be positive");
		}
	}

}
