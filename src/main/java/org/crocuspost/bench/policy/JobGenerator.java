package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.platform.worker.Resources;

/**
 * Generates the random jobs of a benchmark run.
 */
final class JobGenerator {

	private static final int ORDINARY_JOBS = 9;

	private static final int TASKS_PER_JOB = 1000;

	private static final List<Integer> NIGHT_HOURS = List.of(22, 23, 0, 1, 2);

	private final SplittableRandom random;

	private final Resources capacity;

	JobGenerator(SplittableRandom random, Resources capacity) {
		this.random = random;
		this.capacity = capacity;
	}

	/**
	 * Generates ordinary jobs, one job whose tasks arrive at night only and one whose
	 * tasks fit on no worker.
	 * @return the jobs
	 */
	List<JobProfile> generate() {
		List<JobProfile> jobs = new ArrayList<>();
		for (int i = 0; i < ORDINARY_JOBS; i++) {
			jobs.add(ordinary("job-" + i, List.of()));
		}
		jobs.add(ordinary("nightly-statements", NIGHT_HOURS));
		Resources tooLarge = new Resources(1000, this.capacity.memoryMebibytes() * 2, 0);
		jobs.add(new JobProfile(specification("too-large", tooLarge, Duration.ofMinutes(2), false), 1,
				Duration.ofMinutes(2), 0.002, Duration.ZERO, List.of()));
		return jobs;
	}

	private JobProfile ordinary(String name, List<Integer> arrivalHours) {
		double coreShare = 0.06 + 0.2 * this.random.nextDouble();
		long milliCores = (long) (this.capacity.milliCores() * coreShare);
		long memory = (long) (this.capacity.memoryMebibytes() * (0.03 + 0.15 * this.random.nextDouble()));
		Duration meanRunTime = Duration.ofSeconds(60 + this.random.nextInt(240));
		double declarationError = Math.exp((this.random.nextDouble() - 0.5) * 2);
		Duration declaredRunTime = Duration.ofSeconds((long) (meanRunTime.toSeconds() * declarationError));
		boolean checkpointed = this.random.nextDouble() < 0.7;
		Duration noisePeriod = (this.random.nextDouble() < 0.3) ? Duration.ofSeconds(60) : Duration.ZERO;
		double usedShare = 0.4 + 0.8 * this.random.nextDouble();
		double demand = 0.5 + this.random.nextDouble();
		return new JobProfile(specification(name, new Resources(milliCores, memory, 0), declaredRunTime, checkpointed),
				usedShare, meanRunTime, demand, noisePeriod, arrivalHours);
	}

	private static JobSpecification specification(String name, Resources size, Duration runTime, boolean checkpointed) {
		return new JobSpecification(name, "team", TASKS_PER_JOB, size, runTime, 5, false, checkpointed,
				Optional.empty(), Spread.NONE);
	}

}
