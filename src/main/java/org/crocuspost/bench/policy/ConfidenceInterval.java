package org.crocuspost.bench.policy;

import java.util.Arrays;

/**
 * Mean with its 95% confidence interval by Student's t-distribution.
 *
 * @param mean the mean
 * @param halfWidth half the width of the interval; 0 for fewer than two values
 */
record ConfidenceInterval(double mean, double halfWidth) {

	private static final double[] STUDENT_95 = { 12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
			2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086 };

	private static final double NORMAL_95 = 1.96;

	static ConfidenceInterval of(double... values) {
		int count = values.length;
		double mean = Arrays.stream(values).average().orElse(Double.NaN);
		if (count < 2) {
			return new ConfidenceInterval(mean, 0);
		}
		double squareSum = Arrays.stream(values).map((value) -> (value - mean) * (value - mean)).sum();
		double deviation = Math.sqrt(squareSum / (count - 1));
		double quantile = (count - 2 < STUDENT_95.length) ? STUDENT_95[count - 2] : NORMAL_95;
		return new ConfidenceInterval(mean, quantile * deviation / Math.sqrt(count));
	}

	/**
	 * Returns whether the whole interval lies above zero.
	 * @return true if the lower bound is positive
	 */
	boolean positive() {
		return this.mean - this.halfWidth > 0;
	}

}
