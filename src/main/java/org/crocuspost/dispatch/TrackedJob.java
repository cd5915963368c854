package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.JobProgress;
import org.crocuspost.time.Clock;

/**
 * A job with the time at which it was accepted and the last time at which one of its
 * tasks was running or about to run. Mutable.
 */
final class TrackedJob {

	private final JobProgress job;

	private final long acceptedNanos;

	private long lastRunningNanos;

	private boolean deferred;

	private WaitingOrder.Rank rank = new WaitingOrder.Rank(0, 0, 0);

	/**
	 * Creates a job that this leader processes for the first time.
	 * @param job the job
	 * @param clock the clock of this process
	 */
	TrackedJob(JobProgress job, Clock clock) {
		this.job = job;
		this.acceptedNanos = clock.nanoTime() - age(job.submission().acceptedMillis(), clock).toNanos();
		this.lastRunningNanos = clock.nanoTime();
	}

	// The job was accepted by another clock. An established leader processes jobs at
	// once,
	// so an age within the difference of the clocks counts as none.
	private static Duration age(long acceptedMillis, Clock clock) {
		Duration age = Duration.ofMillis(clock.millis() - acceptedMillis);
		return (age.compareTo(DispatchSettings.MAXIMUM_CLOCK_DIFFERENCE) > 0) ? age : Duration.ZERO;
	}

	JobProgress job() {
		return this.job;
	}

	long acceptedNanos() {
		return this.acceptedNanos;
	}

	Duration age(long nowNanos) {
		return Duration.ofNanos(nowNanos - this.acceptedNanos);
	}

	void markRunning(long nowNanos) {
		this.lastRunningNanos = nowNanos;
	}

	boolean starving(long nowNanos) {
		return nowNanos - this.lastRunningNanos > DispatchSettings.STARVATION_TIMEOUT.toNanos();
	}

	/**
	 * Returns whether the selection ranks the job behind all jobs of use.
	 * @return true if it is deferred
	 */
	boolean deferred() {
		return this.deferred;
	}

	void deferred(boolean value) {
		this.deferred = value;
	}

	WaitingOrder.Rank rank() {
		return this.rank;
	}

	void rank(WaitingOrder.Rank next) {
		this.rank = next;
	}

}
