package org.crocuspost.bench.policy;

import java.util.SplittableRandom;

/**
 * Random distributions that the JDK doesn't provide.
 */
final class Distributions {

	private Distributions() {
	}

	/**
	 * Draws a random number from a Poisson distribution.
	 * @param random the source of random numbers
	 * @param mean the mean, which should be small
	 * @return the random number
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
