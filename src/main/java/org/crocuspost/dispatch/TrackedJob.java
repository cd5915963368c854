package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.time.Clock;

/**
 * A job with the time at which it was accepted and the last time at which one of its
 * tasks was running or about to run. Mutable.
 */
final class TrackedJob {

	private final JobProgress job;

	private final long acceptedNanos;

	private final long createdNanos;

	private long lastAssignedNanos;

	private long lastRunningNanos;

	private final boolean assignedEarlier;

	private OptionalLong firstAssignedNanos = OptionalLong.empty();

	private boolean begun;

	private long lastListedNanos = Long.MIN_VALUE;

	private boolean deferred;

	private WaitingOrder.Rank rank = new WaitingOrder.Rank(0, 0, 0);

	/**
	 * Creates a job that this leader processes for the first time.
	 * @param job the job, with its recorded progress if there is any
	 * @param clock the clock of this process
	 */
	TrackedJob(JobProgress job, Clock clock) {
		this.job = job;
		this.acceptedNanos = clock.nanoTime() - age(job.submission().acceptedMillis(), clock).toNanos();
		this.createdNanos = clock.nanoTime();
		this.lastRunningNanos = this.createdNanos;
		this.lastAssignedNanos = this.createdNanos;
		this.assignedEarlier = job.allTasks().stream().anyMatch(TaskProgress::everAssigned);
		this.begun = job.state() != JobState.QUEUED || job.allTasks().stream().anyMatch(TrackedJob::hasRun);
	}

	private static boolean hasRun(TaskProgress task) {
		return task.status() == TaskStatus.DONE || task.failures() > 0;
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

	boolean longRunning() {
		return this.job.submission().specification().longRunning();
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

	/**
	 * Records that a task of the job is assigned to a worker.
	 * @param nowNanos the current time
	 */
	void markAssigned(long nowNanos) {
		this.lastAssignedNanos = nowNanos;
		if (this.firstAssignedNanos.isEmpty()) {
			this.firstAssignedNanos = OptionalLong.of(nowNanos);
		}
	}

	/**
	 * Returns the time since this leader first assigned a task of the job.
	 * @param nowNanos the current time
	 * @return the time; empty if there is no such assignment, or if a former leader had
	 * assigned a task
	 */
	Optional<Duration> sinceAssigned(long nowNanos) {
		return (this.assignedEarlier || this.firstAssignedNanos.isEmpty()) ? Optional.empty()
				: Optional.of(Duration.ofNanos(nowNanos - this.firstAssignedNanos.getAsLong()));
	}

	/**
	 * Returns whether this or a former leader has ever assigned a task of the job.
	 * @return true if a task was assigned, whether or not it has begun
	 */
	boolean everAssigned() {
		return this.assignedEarlier || this.firstAssignedNanos.isPresent();
	}

	/**
	 * Returns whether a task of the job is known to have begun on its worker.
	 * @return true if one has begun
	 */
	boolean begun() {
		return this.begun;
	}

	/**
	 * Records that a task of the job has begun on its worker.
	 * @return whether none was known to have begun before
	 */
	boolean markBegun() {
		boolean first = !this.begun;
		this.begun = true;
		return first;
	}

	/**
	 * Records that a run of the job was running.
	 * @param nanos the time of the worker's list, in nanoseconds of the process clock
	 */
	void markListed(long nanos) {
		this.lastListedNanos = Math.max(this.lastListedNanos, nanos);
	}

	/**
	 * Returns when a run of the job was last known to run, according to a list that this
	 * leader has received.
	 * @return the time in nanoseconds of the process clock; the minimum if there is none
	 */
	long lastListedNanos() {
		return this.lastListedNanos;
	}

	/**
	 * Records that an assignment has led to no run. The job has to get another worker at
	 * once if no other run of it was listed lately.
	 */
	void startFailed() {
		this.lastRunningNanos = Math.max(this.createdNanos, this.lastListedNanos);
	}

	/**
	 * Returns whether no task of the job has been assigned for some time.
	 * @param nowNanos the current time
	 * @return true if a suspected task of the job should not wait any longer
	 */
	boolean withoutAssignment(long nowNanos) {
		return nowNanos - this.lastAssignedNanos > DispatchSettings.STARVATION_TIMEOUT.toNanos();
	}

	/**
	 * Returns whether no task of the job has been known to run, or to be about to run,
	 * for some time.
	 * @param nowNanos the current time
	 * @return true if the job should accept any worker with enough free resources
	 */
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
