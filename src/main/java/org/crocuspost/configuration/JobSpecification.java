package org.crocuspost.configuration;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.platform.worker.Resources;

/**
 * Declares a batch job: a number of identical tasks.
 *
 * @param name the name
 * @param team the team against whose quota the tasks of the job count
 * @param count the number of tasks
 * @param size the declared resource demand of one task
 * @param runTime the declared run time of one task
 * @param priority the priority from 0 to 9; jobs with a lower number start first
 * @param urgent whether a task must start within seconds, if necessary by preempting
 * tasks of other jobs
 * @param checkpointed whether a task can save its progress
 * @param deadline the time after acceptance within which the job should complete; empty
 * if it has no deadline
 * @param spread the unit over which the tasks are spread
 */
public record JobSpecification(String name, String team, int count, Resources size, Duration runTime, int priority,
		boolean urgent, boolean checkpointed, Optional<Duration> deadline, Spread spread) {

	/**
	 * Names the unit over which the tasks of a job are spread.
	 */
	public enum Spread {

		/**
		 * Tasks may run anywhere.
		 */
		NONE,

		/**
		 * Tasks are spread evenly over racks.
		 */
		RACK,

		/**
		 * Tasks are spread evenly over failure domains.
		 */
		FAILURE_DOMAIN

	}

}
