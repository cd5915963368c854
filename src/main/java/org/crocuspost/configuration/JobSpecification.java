package org.crocuspost.configuration;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.platform.worker.Resources;

/**
 * A batch job: a number of equal tasks.
 *
 * @param name the name
 * @param team the team whose quota pays for the job
 * @param count the number of tasks
 * @param size the declared size of one task
 * @param runTime the declared run time of one task
 * @param priority jobs with a lower number start first; 0 to 9
 * @param urgent whether a task must start within seconds, if need be in place of others
 * @param checkpointed whether a task can save its progress
 * @param deadline how long after acceptance the job should be done, if it matters
 * @param spread over which unit tasks are spread
 */
public record JobSpecification(String name, String team, int count, Resources size, Duration runTime, int priority,
		boolean urgent, boolean checkpointed, Optional<Duration> deadline, Spread spread) {

	/**
	 * Unit over which the tasks of a job are spread.
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
