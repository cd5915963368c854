package org.crocuspost.daemon;

import org.crocuspost.scheduler.SchedulingSettings.Limits;
import org.crocuspost.scheduler.SchedulingSettings.Permission;
import org.crocuspost.scheduler.SchedulingSettings.Times;
import org.crocuspost.settings.SchedulerSettings;
import org.crocuspost.shard.ShardLeaseSettings;

/**
 * Derives the settings of the batch scheduler from those of the process.
 */
final class BatchTimes {

	private BatchTimes() {
	}

	static org.crocuspost.scheduler.SchedulingSettings of(SchedulerSettings settings) {
		SchedulerSettings.Times times = settings.times();
		ShardLeaseSettings lease = new ShardLeaseSettings(times.shardLease(), times.shardRenewal(),
				times.driftMargin());
		Permission defaults = Permission.DEFAULT;
		Permission permission = new Permission(defaults.normalDuration(), defaults.outageDuration(), times.taskLease(),
				defaults.driftMargin());
		return new org.crocuspost.scheduler.SchedulingSettings(settings.failureDomains(), lease, Times.DEFAULT,
				permission, Limits.DEFAULT);
	}

}
