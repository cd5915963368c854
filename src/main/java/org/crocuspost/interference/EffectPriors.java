package org.crocuspost.interference;

/**
 * Gives what the fleet knows of a job beside the service of a worker.
 */
@FunctionalInterface
public interface EffectPriors {

	/**
	 * Knows nothing of any job.
	 */
	EffectPriors NONE = (job) -> JobEffect.UNKNOWN;

	/**
	 * Returns what is known of a job.
	 * @param job the name of the job
	 * @return its effect; {@link JobEffect#UNKNOWN} if nothing is known
	 */
	JobEffect of(String job);

}
