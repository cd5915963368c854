package org.crocuspost.interference;

/**
 * Estimated effect of a job on a service: the increase of the natural logarithm of the
 * service's latency if the job used all cores of the worker.
 *
 * @param mean the estimate
 * @param standardError the standard error of the estimate
 */
public record JobEffect(double mean, double standardError) {

	/**
	 * Effect of a job for which there is no evidence.
	 */
	public static final JobEffect UNKNOWN = new JobEffect(0, 1.5);

	/**
	 * Returns the precision of the estimate.
	 * @return the reciprocal of the squared standard error
	 */
	public double precision() {
		return 1 / (this.standardError * this.standardError);
	}

	/**
	 * Returns a bound that the effect exceeds with a probability that falls as the
	 * caution rises. The bound is never negative, since interference never speeds a
	 * service up.
	 * @param caution the number of standard errors to add
	 * @return the bound
	 */
	public double upperBound(double caution) {
		return Math.max(0, this.mean + caution * this.standardError);
	}

	/**
	 * Returns whether the effect is statistically significant.
	 * @return true if the estimate is more than two standard errors above zero
	 */
	public boolean significant() {
		return this.mean > 2 * this.standardError;
	}

}
