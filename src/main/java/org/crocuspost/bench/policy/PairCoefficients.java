package org.crocuspost.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * How much each job disturbs each service. Drawn at random, independent of size: most
 * pairs are harmless.
 */
final class PairCoefficients {

	private static final double NOISY_SHARE = 0.3;

	private final Map<String, Map<String, Double>> byService = new HashMap<>();

	PairCoefficients(SplittableRandom random, List<ServiceProfile> services, List<JobProfile> jobs) {
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
		boolean noisy = random.nextDouble() < NOISY_SHARE;
		double position = random.nextDouble();
		return noisy ? 1 + 3 * position : 0.05 * position;
	}

}
