package org.crocuspost.interference;

/**
 * Estimated effect of a job on a service: the rise of the logarithm of the service's
 * latency if the job takes all cores of the worker.
 *
 * @param mean the estimate
 * @param standardError the standard error of the estimate
 */
public record JobEffect(double mean, double standardError) {

	/**
	 * Effect of a job of which nothing is known.
	 */
	public static final JobEffect UNKNOWN = new JobEffect(0, 1.5);

	/**
	 * Returns how much is known.
	 * @return the reciprocal of the squared standard error
	 */
	public double precision() {
		return 1 / (this.standardError * this.standardError);
	}

	/**
	 * Returns a value that the effect exceeds with a probability that falls with the
	 * caution. Interference never speeds a service up, so it is not negative.
	 * @param caution the number of standard errors to add
	 * @return the bound
	 */
	public double upperBound(double caution) {
		return Math.max(0, this.mean + caution * this.standardError);
	}

	/**
	 * Says whether the effect is unlikely to be chance.
	 * @return true if the estimate is more than two standard errors above zero
	 */
	public boolean significant() {
		return this.mean > 2 * this.standardError;
	}

}
