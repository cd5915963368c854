package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.JobProgress;

/**
 * A job with the time at which this leader first processed it and the last time at which
 * one of its tasks was running or about to run. Mutable.
 */
final class TrackedJob {

	private final JobProgress job;

	private final long firstSeenNanos;

	private long lastRunningNanos;

	private WaitingOrder.Rank rank = new WaitingOrder.Rank(0, 0, 0);

	TrackedJob(JobProgress job, long firstSeenNanos) {
		this.job = job;
		this.firstSeenNanos = firstSeenNanos;
		this.lastRunningNanos = firstSeenNanos;
	}

	JobProgress job() {
		return this.job;
	}

	long firstSeenNanos() {
		return this.firstSeenNanos;
	}

	Duration age(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.firstSeenNanos);
	}

	void markRunning(long nowNanos) {
		this.lastRunningNanos = nowNanos;
	}

	boolean starving(long nowNanos) {
		return nowNanos - this.lastRunningNanos > DispatchSettings.STARVATION_TIMEOUT.toNanos();
	}

	WaitingOrder.Rank rank() {
		return this.rank;
	}

	void rank(WaitingOrder.Rank next) {
		this.rank = next;
	}

}
