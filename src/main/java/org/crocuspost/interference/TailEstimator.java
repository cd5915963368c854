package org.crocuspost.interference;

import java.util.Arrays;

/**
 * Estimates a high quantile from few samples.
 *
 * <p>
 * The empirical 99th percentile of 30 samples is their maximum, which is a poor estimate.
 * This estimator uses the peaks-over-threshold method: the excess of the upper fifth of
 * the samples over a threshold is assumed to be exponentially distributed, and the
 * quantile is extrapolated from the mean excess. With 30 samples the threshold is the
 * 24th smallest sample, and six samples determine the slope of the tail. As soon as
 * enough samples lie beyond the quantile itself, the empirical quantile is used.
 */
public final class TailEstimator {

	private static final double TAIL_SHARE = 0.2;

	private static final int SAMPLES_BEYOND_QUANTILE = 10;

	private static final int MIN_EXCEEDANCES = 2;

	private TailEstimator() {
	}

	/**
	 * Estimates a quantile.
	 * @param samples positive values in any order; sorted in place
	 * @param quantile the quantile, between 0 and 1
	 * @return the estimate; 0 without samples
	 */
	public static double estimate(double[] samples, double quantile) {
		if (samples.length == 0) {
			return 0;
		}
		Arrays.sort(samples);
		boolean enough = samples.length * (1 - quantile) >= SAMPLES_BEYOND_QUANTILE;
		int exceedances = (int) (samples.length * TAIL_SHARE);
		if (enough || exceedances < MIN_EXCEEDANCES || 1 - quantile >= TAIL_SHARE) {
			return empirical(samples, quantile);
		}
		return extrapolate(samples, quantile, exceedances);
	}

	private static double empirical(double[] sorted, double quantile) {
		int rank = (int) Math.ceil(quantile * sorted.length);
		return sorted[Math.max(0, rank - 1)];
	}

	private static double extrapolate(double[] sorted, double quantile, int exceedances) {
		int threshold = sorted.length - exceedances - 1;
		double excess = 0;
		for (int i = threshold + 1; i < sorted.length; i++) {
			excess += sorted[i] - sorted[threshold];
		}
		double meanExcess = excess / exceedances;
		double share = (double) exceedances / sorted.length;
		return sorted[threshold] + meanExcess * Math.log(share / (1 - quantile));
	}

}
