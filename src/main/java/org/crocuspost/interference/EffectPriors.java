package org.crocuspost.interference;

/**
 * Supplies prior estimates of the effect of a job on the service of a worker. They are
 * based on the evidence of the whole fleet, which is the set of all workers.
 */
@FunctionalInterface
public interface EffectPriors {

	/**
	 * Priors that return {@link JobEffect#UNKNOWN} for every job.
	 */
	EffectPriors NONE = (job) -> JobEffect.UNKNOWN;

	/**
	 * Returns the prior estimate of the effect of a job.
	 * @param job the name of the job
	 * @return the effect; {@link JobEffect#UNKNOWN} if there is no evidence
	 */
	JobEffect effect(String job);

}
