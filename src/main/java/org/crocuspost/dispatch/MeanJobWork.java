package org.crocuspost.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean work of the jobs of each queue.
 */
final class MeanJobWork {

	/**
	 * Number of jobs beyond which a new job has the same weight in the mean as the last
	 * ones, so that the mean follows a change of the load.
	 */
	private static final int MAXIMUM_WEIGHT = 200;

	private final Map<String, Double> means = new HashMap<>();

	private final Map<String, Integer> weights = new HashMap<>();

	/**
	 * Adds a job.
	 * @param queue the name of its queue
	 * @param work its work, in core-seconds
	 */
	void add(String queue, double work) {
		int weight = Math.min(MAXIMUM_WEIGHT, this.weights.merge(queue, 1, Integer::sum));
		this.means.merge(queue, work, (mean, added) -> mean + (added - mean) / weight);
	}

	double mean(String queue) {
		return this.means.getOrDefault(queue, 0.0);
	}

}
