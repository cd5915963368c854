package org.crocuspost.host;

import java.time.Duration;

/**
 * Thresholds of the pace control.
 *
 * @param reduceAbove ratio of tail latency to target above which fillers are slowed down
 * @param raiseBelow ratio below which they are let go on
 * @param reduction factor on the pace at a reduction
 * @param increase points of a hundred added at a raise
 * @param lowest the smallest pace other than zero
 * @param interval least time between two changes in the same direction; the load that the
 * worker reports covers half a second
 */
public record PaceSettings(double reduceAbove, double raiseBelow, double reduction, int increase, int lowest,
		Duration interval) {

	/**
	 * Reacts well within the seconds for which a service may miss its target.
	 */
	public static final PaceSettings DEFAULT = new PaceSettings(0.85, 0.65, 0.5, 15, 10, Duration.ofMillis(550));

	public PaceSettings {
		if (raiseBelow >= reduceAbove) {
			throw new IllegalArgumentException("the thresholds must leave a band in which the pace is kept");
		}
	}

}
