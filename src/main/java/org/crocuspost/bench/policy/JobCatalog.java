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
 * Draws the jobs of a run.
 */
final class JobCatalog {

	private static final int ORDINARY_JOBS = 9;

	private static final int TASKS_OF_A_JOB = 1000;

	private static final List<Integer> NIGHT = List.of(22, 23, 0, 1, 2);

	private final SplittableRandom random;

	private final Resources capacity;

	JobCatalog(SplittableRandom random, Resources capacity) {
		this.random = random;
		this.capacity = capacity;
	}

	/**
	 * Draws jobs: ordinary ones, one that arrives at night only and one that fits on no
	 * worker.
	 * @return the jobs
	 */
	List<JobProfile> draw() {
		List<JobProfile> jobs = new ArrayList<>();
		for (int i = 0; i < ORDINARY_JOBS; i++) {
			jobs.add(ordinary("job-" + i, List.of()));
		}
		jobs.add(ordinary("nightly-statements", NIGHT));
		Resources tooLarge = new Resources(1000, this.capacity.memoryMebibytes() * 2, 0);
		jobs.add(new JobProfile(specification("too-large", tooLarge, Duration.ofMinutes(2), false), 1,
				Duration.ofMinutes(2), 0.002, Duration.ZERO, List.of()));
		return jobs;
	}

	private JobProfile ordinary(String name, List<Integer> hours) {
		double share = 0.06 + 0.2 * this.random.nextDouble();
		long milliCores = (long) (this.capacity.milliCores() * share);
		long memory = (long) (this.capacity.memoryMebibytes() * (0.03 + 0.15 * this.random.nextDouble()));
		Duration meanRunTime = Duration.ofSeconds(60 + this.random.nextInt(240));
		double error = Math.exp((this.random.nextDouble() - 0.5) * 2);
		Duration declared = Duration.ofSeconds((long) (meanRunTime.toSeconds() * error));
		boolean checkpointed = this.random.nextDouble() < 0.7;
		Duration wave = (this.random.nextDouble() < 0.3) ? Duration.ofSeconds(60) : Duration.ZERO;
		double usedShare = 0.4 + 0.8 * this.random.nextDouble();
		double demand = 0.5 + this.random.nextDouble();
		return new JobProfile(specification(name, new Resources(milliCores, memory, 0), declared, checkpointed),
				usedShare, meanRunTime, demand, wave, hours);
	}

	private static JobSpecification specification(String name, Resources size, Duration runTime, boolean checkpointed) {
		return new JobSpecification(name, "team", TASKS_OF_A_JOB, size, runTime, 5, false, checkpointed,
				Optional.empty(), Spread.NONE);
	}

}
