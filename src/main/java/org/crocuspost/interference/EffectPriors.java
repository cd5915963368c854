package org.crocuspost.interference;

/**
 * Supplies prior estimates, from the evidence of the whole fleet, of the effect of a job
 * on the service of a worker.
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
