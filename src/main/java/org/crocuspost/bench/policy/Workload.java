package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Batch tasks that arrive during a benchmark run. All policies get the same ones for the
 * same seed.
 *
 * @param jobs the jobs
 * @param coefficients the interference of each job with each service
 * @param tasks the tasks in order of arrival
 */
record Workload(List<JobProfile> jobs, InterferenceCoefficients coefficients, List<BenchTask> tasks) {

	private static final double RUN_TIME_DEVIATION = 0.6;

	private static final int ARRIVAL_WAVE_SECONDS = 600;

	private static final double ARRIVAL_WAVE_AMPLITUDE = 0.7;

	private static final double HOURS_PER_DAY = 24;

	static Workload generate(Deployment deployment, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<JobProfile> jobs = new JobGenerator(random.split(), deployment.capacity()).generate();
		InterferenceCoefficients coefficients = new InterferenceCoefficients(random.split(), deployment.services(),
				jobs);
		List<BenchTask> tasks = new ArrayList<>();
		double totalDemand = jobs.stream().mapToDouble(JobProfile::demand).sum();
		SplittableRandom arrivals = random.split();
		double[] phases = jobs.stream().mapToDouble((job) -> arrivals.nextDouble() * 2 * Math.PI).toArray();
		for (int step = 0; step < deployment.steps(); step++) {
			for (int i = 0; i < jobs.size(); i++) {
				double rate = arrivalRate(deployment, jobs.get(i), step) * jobs.get(i).demand() / totalDemand;
				double wave = 1
						+ ARRIVAL_WAVE_AMPLITUDE * Math.sin(2 * Math.PI * step / ARRIVAL_WAVE_SECONDS + phases[i]);
				int count = Distributions.poisson(arrivals, rate * wave);
				for (int k = 0; k < count; k++) {
					tasks.add(task(tasks.size(), jobs.get(i), step, arrivals));
				}
			}
		}
		return new Workload(jobs, coefficients, tasks);
	}

	private static double arrivalRate(Deployment deployment, JobProfile job, int step) {
		if (!job.arrivesAt(deployment.hour(step))) {
			return 0;
		}
		double batchWorkers = deployment.workers() - BenchWorker.SERVICE_SHARE * deployment.workersWithService();
		double capacity = batchWorkers * deployment.capacity().milliCores();
		double arrivalConcentration = job.arrivalHours().isEmpty() ? 1 : HOURS_PER_DAY / job.arrivalHours().size();
		double taskSize = (double) job.specification().size().milliCores() * job.meanRunTime().toSeconds();
		return deployment.batchDemand() * capacity * arrivalConcentration / taskSize;
	}

	private static BenchTask task(int number, JobProfile job, int step, SplittableRandom random) {
		double deviation = random.nextGaussian() * RUN_TIME_DEVIATION;
		double correction = RUN_TIME_DEVIATION * RUN_TIME_DEVIATION / 2;
		double work = job.meanRunTime().toSeconds() * Math.exp(deviation - correction);
		return new BenchTask("task-" + number, job, step, work);
	}

	Map<String, Long> milliCoresByJob() {
		return this.jobs.stream()
			.collect(Collectors.toMap(JobProfile::name, (job) -> job.specification().size().milliCores()));
	}

}
