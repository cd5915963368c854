package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.List;

import org.crocuspost.shard.ShardLeaseSettings;

/**
 * Settings of the scheduler.
 *
 * @param domains the failure domains of the deployment
 * @param shardLease the times of the scheduling leases
 * @param times the times of rounds and commands
 * @param permission the times of the permission to renew task leases
 * @param limits the limits of transactions, task failures and rounds
 * @param learnSizes whether the resources to reserve follow the measured usage; otherwise
 * they are those that the jobs declare
 */
public record SchedulingSettings(List<String> domains, ShardLeaseSettings shardLease, Times times,
		Permission permission, Limits limits, boolean learnSizes) {

	public SchedulingSettings {
		domains = List.copyOf(domains);
	}

	/**
	 * Creates settings with learned sizes.
	 * @param domains the failure domains of the deployment
	 * @param shardLease the times of the scheduling leases
	 * @param times the times of rounds and commands
	 * @param permission the times of the permission to renew task leases
	 * @param limits the limits of transactions, task failures and rounds
	 */
	public SchedulingSettings(List<String> domains, ShardLeaseSettings shardLease, Times times, Permission permission,
			Limits limits) {
		this(domains, shardLease, times, permission, limits, true);
	}

	/**
	 * Returns the default settings.
	 * @param domains the failure domains of the deployment
	 * @return the settings
	 */
	public static SchedulingSettings defaults(List<String> domains) {
		return new SchedulingSettings(domains, ShardLeaseSettings.DEFAULT, Times.DEFAULT, Permission.DEFAULT,
				Limits.DEFAULT, true);
	}

	/**
	 * Returns a copy of the settings without learned sizes, which serves as baseline of
	 * benchmarks.
	 * @return the settings
	 */
	public SchedulingSettings withDeclaredSizes() {
		return new SchedulingSettings(this.domains, this.shardLease, this.times, this.permission, this.limits, false);
	}

	/**
	 * Times of rounds and commands.
	 *
	 * @param roundInterval the time between scheduling rounds
	 * @param scanInterval the time between full reads of the task rows while several
	 * schedulers hold shards
	 * @param maxReportAge the age from which the newest report of a worker is too old for
	 * the worker to receive tasks
	 * @param commandRetryInterval the time after which a command that has not taken
	 * effect is sent again
	 * @param callTimeout the timeout of the answer to a command
	 * @param preferenceTimeout how long a task waits before a scheduler other than the
	 * preferred one may claim it
	 */
	public record Times(Duration roundInterval, Duration scanInterval, Duration maxReportAge,
			Duration commandRetryInterval, Duration callTimeout, Duration preferenceTimeout) {

		/**
		 * Times for production.
		 */
		public static final Times DEFAULT = new Times(Duration.ofMillis(250), Duration.ofSeconds(10),
				Duration.ofSeconds(4), Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(2));

	}

	/**
	 * Times of the permission to renew task leases.
	 *
	 * @param normalDuration how long an agent may renew after an answer while the
	 * scheduler's lease is valid
	 * @param outageDuration how long after the last renewal of the scheduler's lease
	 * agents may renew while the store is down
	 * @param taskLease the length of a task lease at the worker runtime
	 * @param driftMargin the additional time that the scheduler waits before it concludes
	 * that an unresponsive worker has stopped its tasks
	 */
	public record Permission(Duration normalDuration, Duration outageDuration, Duration taskLease,
			Duration driftMargin) {

		/**
		 * Times that keep tasks running through a store outage of ten minutes.
		 */
		public static final Permission DEFAULT = new Permission(Duration.ofSeconds(45), Duration.ofMinutes(15),
				Duration.ofSeconds(15), Duration.ofSeconds(10));

		/**
		 * Returns how long after the end of a permission a task may still run. A renewal
		 * that was in flight at the end extends the lease once more.
		 * @return twice the task lease plus the drift margin
		 */
		public Duration stopMargin() {
			return this.taskLease.multipliedBy(2).plus(this.driftMargin);
		}

	}

	/**
	 * Limits of transactions, task failures and rounds.
	 *
	 * @param maxRowsPerTransaction the maximum number of rows that one transaction writes
	 * @param maxFailuresPerTask the number of failed attempts after which a task is given
	 * up
	 * @param maxConfirmationsPerRound the maximum number of confirmed starts that a round
	 * writes
	 */
	public record Limits(int maxRowsPerTransaction, int maxFailuresPerTask, int maxConfirmationsPerRound) {

		/**
		 * Limits for production.
		 */
		public static final Limits DEFAULT = new Limits(250, 5, 1);

	}

}
