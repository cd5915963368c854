package org.crocuspost.interference;

import java.time.Duration;

/**
 * Settings of the learned penalties for pairs of a service and a job.
 *
 * @param halfLife the age at which an observation has lost half of its weight
 * @param unknownStandardError the standard error of an effect above which a pair counts
 * as unknown
 * @param maxTrials the maximum number of workers of a service on which an unknown pair
 * may run at once
 * @param maxTrialPressure the pressure (tail latency of the service on a worker divided
 * by its objective) above which no unknown pair may be started on that worker
 */
public record PairPenaltySettings(Duration halfLife, double unknownStandardError, int maxTrials,
		double maxTrialPressure) {

	/**
	 * Default settings for a first deployment.
	 */
	public static final PairPenaltySettings DEFAULT = new PairPenaltySettings(Duration.ofHours(6), 0.5, 2, 0.6);

}
