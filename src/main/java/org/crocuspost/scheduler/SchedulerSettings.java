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
 * @param limits the bounds on what one round does
 * @param learnSizes whether the resources that are set aside follow the use; otherwise
 * they are those that jobs declare
 */
public record SchedulerSettings(List<String> domains, ShardLeaseSettings shardLease, Times times, Permission permission,
		Limits limits, boolean learnSizes) {

	public SchedulerSettings {
		domains = List.copyOf(domains);
	}

	/**
	 * Creates settings with learned sizes.
	 * @param domains the failure domains of the deployment
	 * @param shardLease the times of the scheduling leases
	 * @param times the times of rounds and commands
	 * @param permission the times of the permission to renew task leases
	 * @param limits the bounds on what one round does
	 */
	public SchedulerSettings(List<String> domains, ShardLeaseSettings shardLease, Times times, Permission permission,
			Limits limits) {
		this(domains, shardLease, times, permission, limits, true);
	}

	/**
	 * Returns settings with defaults.
	 * @param domains the failure domains of the deployment
	 * @return the settings
	 */
	public static SchedulerSettings defaults(List<String> domains) {
		return new SchedulerSettings(domains, ShardLeaseSettings.DEFAULT, Times.DEFAULT, Permission.DEFAULT,
				Limits.DEFAULT, true);
	}

	/**
	 * Returns the same settings without learned sizes. Baseline for measurements.
	 * @return the settings
	 */
	public SchedulerSettings withDeclaredSizes() {
		return new SchedulerSettings(this.domains, this.shardLease, this.times, this.permission, this.limits, false);
	}

	/**
	 * Times of rounds and commands.
	 *
	 * @param round the time between rounds
	 * @param scan the time between full reads of the task rows while several schedulers
	 * hold shards
	 * @param workerLive how old the newest report of a worker may be for it to get tasks
	 * @param commandRetry the time after which an unanswered command is sent again
	 * @param callTimeout how long to wait for the answer to a command
	 * @param foreignTasks how long a task waits before another scheduler than the
	 * preferred one may claim it
	 */
	public record Times(Duration round, Duration scan, Duration workerLive, Duration commandRetry, Duration callTimeout,
			Duration foreignTasks) {

		/**
		 * Times for production.
		 */
		public static final Times DEFAULT = new Times(Duration.ofMillis(250), Duration.ofSeconds(10),
				Duration.ofSeconds(4), Duration.ofSeconds(4), Duration.ofSeconds(3), Duration.ofSeconds(2));

	}

	/**
	 * Times of the permission to renew task leases.
	 *
	 * @param ordinary how long an agent may renew after an answer while the scheduler's
	 * lease is valid
	 * @param outage how long after the last renewal of the scheduler's lease agents may
	 * renew while the store is down
	 * @param taskLease the length of a task lease at the worker runtime
	 * @param driftMargin how much longer the scheduler waits before it concludes that a
	 * silent worker has stopped its tasks
	 */
	public record Permission(Duration ordinary, Duration outage, Duration taskLease, Duration driftMargin) {

		/**
		 * Times that keep tasks running through a store outage of ten minutes.
		 */
		public static final Permission DEFAULT = new Permission(Duration.ofSeconds(45), Duration.ofMinutes(15),
				Duration.ofSeconds(15), Duration.ofSeconds(10));

		/**
		 * Returns how long after the end of a permission a task may still run. A renewal
		 * that was on its way at the end extends the lease once more.
		 * @return two task leases and the margin
		 */
		public Duration afterPermission() {
			return this.taskLease.multipliedBy(2).plus(this.driftMargin);
		}

	}

	/**
	 * Bounds on what one round does.
	 *
	 * @param rowsPerTransaction the most rows that one transaction writes
	 * @param failuresPerTask how many attempts of a task may fail before it is given up
	 * @param confirmationsPerRound the most confirmed starts that a round writes
	 */
	public record Limits(int rowsPerTransaction, int failuresPerTask, int confirmationsPerRound) {

		/**
		 * Bounds for production.
		 */
		public static final Limits DEFAULT = new Limits(250, 5, 1);

	}

}
