package org.crocuspost.interference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Computes shares for the attempts on a worker such that the slowdown they cause together
 * stays within a limit and the throughput of batch work is maximal.
 *
 * <p>
 * With a linear model this is the fractional knapsack problem: the value of an attempt is
 * proportional to its cores, its cost to its cores times its effect. The exact solution
 * assigns full shares in ascending order of effect until the limit is reached. Example:
 * limit 0.1, attempts with exposures 0.2 and 0.3 and effects 2.0 and 0.1: the second
 * costs 0.03 and gets its full share, the first gets 0.07 / 0.4 = 17%. An equal throttle
 * for both would give each 23% and less than half the throughput.
 */
final class ThrottlePlanner {

	private final int minSharePercent;

	ThrottlePlanner(int minSharePercent) {
		this.minSharePercent = minSharePercent;
	}

	/**
	 * Computes the shares.
	 * @param candidates the attempts
	 * @param limit the maximum increase of the logarithm of the latency
	 * @return the shares in percent, in the order of the candidates
	 */
	int[] plan(List<Candidate> candidates, double limit) {
		int[] percents = new int[candidates.size()];
		List<Integer> order = new ArrayList<>();
		for (int i = 0; i < candidates.size(); i++) {
			order.add(i);
		}
		order.sort(Comparator.comparingDouble((index) -> candidates.get(index).effect()));
		double remaining = limit;
		for (int index : order) {
			Candidate candidate = candidates.get(index);
			double cost = candidate.exposure() * candidate.effect();
			percents[index] = sharePercent(cost, remaining);
			remaining -= cost * percents[index] / 100;
		}
		return percents;
	}

	private int sharePercent(double cost, double remaining) {
		if (cost <= remaining) {
			return 100;
		}
		int share = (int) (100 * Math.max(0, remaining) / cost);
		return Math.max(this.minSharePercent, share);
	}

	/**
	 * Attempt that receives a share.
	 *
	 * @param exposure the share of the worker's cores that it uses when not throttled
	 * @param effect the upper bound of the effect of its job on the service
	 */
	record Candidate(double exposure, double effect) {
	}

}
