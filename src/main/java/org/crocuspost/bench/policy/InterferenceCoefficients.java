package org.crocuspost.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Interference coefficients for each pair of service and job: the strength with which
 * tasks of the job slow the service down. They are random and independent of the size of
 * the job; most pairs are nearly free of interference.
 */
final class InterferenceCoefficients {

	private static final double NOISY_PAIR_SHARE = 0.3;

	private final Map<String, Map<String, Double>> byService = new HashMap<>();

	InterferenceCoefficients(SplittableRandom random, List<ServiceProfile> services, List<JobProfile> jobs) {
		for (ServiceProfile service : services) {
			Map<String, Double> byJob = new HashMap<>();
			for (JobProfile job : jobs) {
				byJob.put(job.name(), draw(random));
			}
			this.byService.put(service.name(), byJob);
		}
	}

	double of(String service, String job) {
		return this.byService.get(service).get(job);
	}

	private static double draw(SplittableRandom random) {
		boolean noisy = random.nextDouble() < NOISY_PAIR_SHARE;
		double uniform = random.nextDouble();
		return noisy ? 1 + 3 * uniform : 0.05 * uniform;
	}

}
