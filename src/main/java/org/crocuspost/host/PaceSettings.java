package org.crocuspost.host;

import java.time.Duration;

/**
 * Thresholds of the pace control. Pressure is the ratio of the worst tail latency of a
 * service to its latency target.
 *
 * @param target the pressure that changes of the paces aim at
 * @param reduceAbove the pressure above which fillers are slowed down
 * @param raiseBelow the pressure below which fillers are accelerated
 * @param maximumGrowth maximum factor by which the fillers' share of the pressure grows
 * in one change
 * @param minimumPace the smallest pace other than zero, in percent
 * @param minimumInterval minimum time between two changes; the load that a worker reports
 * covers half a second
 * @param maximumMiss time for which a service may miss its latency target before all
 * fillers on its worker stop; the platform's specification allows twice that
 */
public record PaceSettings(double target, double reduceAbove, double raiseBelow, double maximumGrowth, int minimumPace,
		Duration minimumInterval, Duration maximumMiss) {

	/**
	 * Default thresholds, which react well within the seconds for which a service may
	 * miss its latency target.
	 */
	public static final PaceSettings DEFAULT = new PaceSettings(0.8, 0.88, 0.72, 2, 10, Duration.ofMillis(550),
			Duration.ofSeconds(2));

	public PaceSettings {
		if (raiseBelow >= target || target >= reduceAbove) {
			throw new IllegalArgumentException("the target pressure must be above raiseBelow and below reduceAbove");
		}
	}

}
