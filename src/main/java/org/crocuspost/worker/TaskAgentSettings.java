package org.crocuspost.worker;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;

/**
 * Settings of the agent side of batch work.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param capacity all resources of the worker
 * @param times the times of reports and leases
 */
public record TaskAgentSettings(String worker, String rack, Resources capacity, Times times) {

	/**
	 * Times of reports and leases.
	 *
	 * @param heartbeat the time between reports
	 * @param taskLease the length of a task lease at the worker runtime
	 * @param startBudget how old the report may be on which a start command rests
	 * @param checkpointInterval the time between checkpoints of a running task
	 * @param callTimeout how long to wait for the answer to a report
	 */
	public record Times(Duration heartbeat, Duration taskLease, Duration startBudget, Duration checkpointInterval,
			Duration callTimeout) {

		/**
		 * Times for production.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(15),
				Duration.ofSeconds(3), Duration.ofMinutes(1), Duration.ofSeconds(3));

	}

}
