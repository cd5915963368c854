package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;

/**
 * Settings of a task agent.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param capacity the total resources of the worker
 * @param times the durations of reports and leases
 */
public record TaskAgentSettings(String worker, String rack, Resources capacity, Times times) {

	/**
	 * Durations of reports and leases.
	 *
	 * @param heartbeat the time between reports
	 * @param taskLease the duration of a task lease at the worker runtime
	 * @param startBudget the maximum age of the report on which a start command is based
	 * @param checkpointInterval the time between checkpoints of a running task
	 * @param callTimeout the maximum time to wait for the reply to a report
	 */
	public record Times(Duration heartbeat, Duration taskLease, Duration startBudget, Duration checkpointInterval,
			Duration callTimeout) {

		/**
		 * Default durations for production.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(15),
				Duration.ofSeconds(3), Duration.ofMinutes(1), Duration.ofSeconds(3));

	}

}
