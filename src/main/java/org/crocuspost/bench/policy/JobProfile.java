package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.List;

import org.crocuspost.configuration.JobSpecification;

/**
 * A job of the benchmark with what its declaration does not say.
 *
 * @param specification what the job declares
 * @param usedShare the processor time that its tasks use, relative to the declared
 * @param meanRunTime the mean run time of its tasks
 * @param demand its share of the batch work that arrives
 * @param wavePeriod the period of its noisy phases; zero if it is always equally noisy
 * @param arrivalHours the hours of the day in which its tasks arrive; empty for all
 */
public record JobProfile(JobSpecification specification, double usedShare, Duration meanRunTime, double demand,
		Duration wavePeriod, List<Integer> arrivalHours) {

	private static final double QUIET_PHASE = 0.2;

	/**
	 * Returns the job's name.
	 * @return the name
	 */
	public String name() {
		return this.specification.name();
	}

	/**
	 * Returns how noisy a task is at a time of its run.
	 * @param runSeconds for how long the task has run
	 * @return 1 in noisy phases, less in quiet ones
	 */
	double noise(long runSeconds) {
		long period = this.wavePeriod.toSeconds();
		if (period == 0) {
			return 1;
		}
		return (runSeconds % period < period / 2) ? 1 : QUIET_PHASE;
	}

	/**
	 * Says whether tasks of the job arrive at an hour.
	 * @param hour the hour
	 * @return true if they do
	 */
	boolean arrivesAt(double hour) {
		return this.arrivalHours.isEmpty() || this.arrivalHours.contains((int) hour);
	}

}
