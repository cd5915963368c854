package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.List;

import org.crocuspost.configuration.JobSpecification;

/**
 * Simulated job: its declaration and its actual behaviour, which the declaration doesn't
 * contain.
 *
 * @param specification the declaration of the job
 * @param usedShare the processor time that its tasks use, relative to the declared one
 * @param meanRunTime the mean run time of its tasks
 * @param demand the batch work that arrives for the job, relative to that of other jobs
 * @param noisePeriod the period of the noisy phases of its tasks; zero if they are always
 * equally noisy
 * @param arrivalHours the hours of the day in which its tasks arrive; empty for all hours
 */
public record JobProfile(JobSpecification specification, double usedShare, Duration meanRunTime, double demand,
		Duration noisePeriod, List<Integer> arrivalHours) {

	private static final double QUIET_NOISE = 0.2;

	/**
	 * Returns the name of the job.
	 * @return the name
	 */
	public String name() {
		return this.specification.name();
	}

	/**
	 * Returns the noise of a task, which scales its interference with services.
	 * @param runSeconds the seconds since the task started
	 * @return 1 in noisy phases, less in quiet ones
	 */
	double noise(long runSeconds) {
		long period = this.noisePeriod.toSeconds();
		if (period == 0) {
			return 1;
		}
		return (runSeconds % period < period / 2) ? 1 : QUIET_NOISE;
	}

	/**
	 * Returns whether tasks of the job arrive at a time of day.
	 * @param hour the hour, from 0 to 24
	 * @return true if tasks arrive
	 */
	boolean arrivesAt(double hour) {
		return this.arrivalHours.isEmpty() || this.arrivalHours.contains((int) hour);
	}

}
