package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;

/**
 * A batch job of which nothing is known to run although the turn of a task has come, with
 * one reason. A job whose tasks wait for several reasons has one entry for each.
 *
 * @param queue the queue of the job
 * @param reason why the tasks are not known to run
 * @param tasks the number of tasks of the job with this reason
 * @param task one of them, the one with the most failed starts
 * @param run the number of its last run; 0 if it was never assigned
 * @param step its step
 * @param crashes the number of crashes that it may have caused
 * @param crashedRuns the number of workers that crashed while they ran it
 * @param duration for how long this leader has known nothing of the job to run
 * @param age the time since the job was accepted
 * @param reasonDuration the time since the phase began on which the reason is based
 * @param evidenceAge the age of the information on which the reason is based
 * @param host the host that the reason concerns; empty if it is none
 * @param workers what the leader knows of the workers; empty if the reason does not
 * depend on them
 * @param rank the group in which the job waits for workers
 * @param deferred whether the job selection defers the job
 * @param failedStart the consecutive failed starts of the task under this leader
 */
public record UnavailableJob(String queue, UnavailabilityReason reason, int tasks, TaskKey task, int run,
		StepSpecification step, int crashes, int crashedRuns, Duration duration, Duration age, Duration reasonDuration,
		Duration evidenceAge, Optional<Host> host, Optional<Workers> workers, String rank, boolean deferred,
		Optional<FailedStart> failedStart) {

	/**
	 * What the leader knows of a host.
	 *
	 * @param name the name of the host
	 * @param connected whether the host is connected to the leader
	 * @param workerResponds whether its agent reports that the worker answers
	 * @param reportAge the age of the last report; empty if there was none
	 * @param leaseAge the time since the lease was last extended; empty if this leader
	 * does not count it yet
	 */
	public record Host(String name, boolean connected, boolean workerResponds, Optional<Duration> reportAge,
			Optional<Duration> leaseAge) {
	}

	/**
	 * What the leader knows of the workers of a service for a task.
	 *
	 * @param conditions the number of workers by what keeps the task from them
	 * @param mostFreeMilliCores the most processor capacity that is not reserved on a
	 * worker that accepts tasks, in thousandths of a core
	 * @param mostFreeMemoryMegabytes the most free memory on a worker that accepts tasks
	 * @param spareCapacity whether so little of the capacity is reserved that a job
	 * without runs takes any worker with room
	 */
	public record Workers(Map<WorkerCondition, Integer> conditions, int mostFreeMilliCores, int mostFreeMemoryMegabytes,
			boolean spareCapacity) {

		/**
		 * Returns the number of workers that have room for the task.
		 * @return the number
		 */
		public int withRoom() {
			return this.conditions.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().hasRoom())
				.mapToInt(Map.Entry::getValue)
				.sum();
		}

	}

	/**
	 * Consecutive starts of a task that did not lead to a run.
	 *
	 * @param number the number of them
	 * @param host the host of the last one
	 * @param reason why its run did not begin
	 * @param age the time since it
	 */
	public record FailedStart(int number, String host, String reason, Duration age) {
	}

}
