package org.crocuspost.bench.policy;

import java.util.SplittableRandom;

/**
 * Distributions of random numbers that the JDK lacks.
 */
final class Distributions {

	private Distributions() {
	}

	/**
	 * Draws a count.
	 * @param random the source
	 * @param mean the mean; small
	 * @return the count
	 */
	static int poisson(SplittableRandom random, double mean) {
		double limit = Math.exp(-mean);
		double product = random.nextDouble();
		int count = 0;
		while (product > limit) {
			product *= random.nextDouble();
			count++;
		}
		return count;
	}

}
