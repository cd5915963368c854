package org.crocuspost.interference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses shares for the attempts on a worker so that the slowdown which they cause
 * together stays within a limit and the most batch work gets done.
 *
 * <p>
 * With a linear model this is the fractional knapsack problem: what an attempt yields is
 * proportional to its cores, what it costs to its cores times its effect. The exact
 * solution gives full shares in rising order of effect until the limit is reached.
 * Example: limit 0.1, attempts with exposures 0.2 and 0.3 and effects 2.0 and 0.1: the
 * second costs 0.03 and gets everything, the first gets 0.07 / 0.4 = 17%. An equal
 * throttle for both would give each 23% and less than half the work.
 */
final class ThrottlePlanner {

	private final int leastPercent;

	ThrottlePlanner(int leastPercent) {
		this.leastPercent = leastPercent;
	}

	/**
	 * Plans the shares.
	 * @param candidates the attempts
	 * @param limit the most by which the logarithm of the latency may rise
	 * @return the shares, in the order of the candidates
	 */
	int[] plan(List<Candidate> candidates, double limit) {
		int[] percents = new int[candidates.size()];
		List<Integer> order = new ArrayList<>();
		for (int i = 0; i < candidates.size(); i++) {
			order.add(i);
		}
		order.sort(Comparator.comparingDouble((index) -> candidates.get(index).effect()));
		double left = limit;
		for (int index : order) {
			Candidate candidate = candidates.get(index);
			double cost = candidate.exposure() * candidate.effect();
			percents[index] = percent(cost, left);
			left -= cost * percents[index] / 100;
		}
		return percents;
	}

	private int percent(double cost, double left) {
		if (cost <= left) {
			return 100;
		}
		int share = (int) (100 * Math.max(0, left) / cost);
		return Math.max(this.leastPercent, share);
	}

	/**
	 * Attempt to plan for.
	 *
	 * @param exposure its share of the worker's cores when it is not throttled
	 * @param effect the cautious estimate of its effect
	 */
	record Candidate(double exposure, double effect) {
	}

}
