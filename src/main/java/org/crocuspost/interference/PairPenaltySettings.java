package org.crocuspost.interference;

import java.time.Duration;

/**
 * Settings of the learned penalties for pairs of service and job.
 *
 * @param halfLife the age at which an observation has lost half of its weight
 * @param uncertainError the standard error of an effect from which a pair counts as
 * unknown
 * @param mostExploring the number of workers of a service on which an unknown pair may
 * run at once
 * @param explorationPressure the pressure on the service of a worker above which no
 * unknown pair may be started there
 */
public record PairPenaltySettings(Duration halfLife, double uncertainError, int mostExploring,
		double explorationPressure) {

	/**
	 * Settings for a first deployment.
	 */
	public static final PairPenaltySettings DEFAULT = new PairPenaltySettings(Duration.ofHours(6), 0.5, 2, 0.6);

}
