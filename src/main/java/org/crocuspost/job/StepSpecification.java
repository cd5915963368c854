package org.crocuspost.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Specification of a step: a group of tasks of a job with the same properties.
 *
 * @param taskCount the number of tasks
 * @param milliCores the processor capacity that each task requests, in thousandths of a
 * core
 * @param memoryMegabytes the memory that each task requests, in megabytes
 * @param accelerators the number of accelerators that each task requests
 * @param estimate a rough estimate of the run time of a task; zero if unknown
 * @param predecessors the numbers of earlier steps whose tasks must all be done before
 * this step starts
 * @param checkpointing whether the tasks save checkpoints of their progress
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether the tasks slow down when they are spread over several racks
 * @param requiredLabel the label that a worker must have; empty if none
 * @param dataRack the rack that holds the data of the tasks; empty if the rack does not
 * matter
 * @param perWorkerLimit the maximum number of tasks of the step on one worker; 0 if
 * unlimited
 * @param speculative whether copies of a task may run in parallel
 * @param lasting whether the tasks are long-running, that is, run until the job is
 * cancelled
 * @param image the name of the image that the tasks run; tasks of the same image behave
 * alike
 * @param tailTarget the upper bound on the tail latency of a task that serves users; zero
 * if none
 * @param filler whether the tasks are fillers, which use only capacity that other tasks
 * leave idle
 * @param unavailableLimit the maximum number of tasks that may be unavailable at the same
 * time because of actions of the scheduler; negative if unlimited
 */
public record StepSpecification(int taskCount, int milliCores, int memoryMegabytes, int accelerators, Duration estimate,
		List<Integer> predecessors, boolean checkpointing, boolean gang, boolean sameRack, String requiredLabel,
		String dataRack, int perWorkerLimit, boolean speculative, boolean lasting, String image, Duration tailTarget,
		boolean filler, int unavailableLimit) {

	/**
	 * Maximum amount of a resource that a task may request. A leader adds up the
	 * resources and the work of all jobs; the sums must fit into a {@code long}.
	 */
	private static final int MAXIMUM_AMOUNT = 1_000_000_000;

	/**
	 * Maximum estimate and latency target of a task. A leader adds up the estimates of up
	 * to 800 steps and counts the sum in nanoseconds.
	 */
	private static final Duration MAXIMUM_DURATION = Duration.ofDays(20);

	public StepSpecification {
		if (taskCount < 1) {
			throw new IllegalArgumentException("a step has at least one task");
		}
		requireAmount(milliCores);
		requireAmount(memoryMegabytes);
		requireAmount(accelerators);
		predecessors = List.copyOf(predecessors);
		requireDuration(estimate, "estimate");
		requireDuration(tailTarget, "tailTarget");
	}

	private static void requireAmount(int amount) {
		if (amount < 0) {
			throw new IllegalArgumentException("requested resources must not be negative");
		}
		if (amount > MAXIMUM_AMOUNT) {
			throw new IllegalArgumentException("requested resources must not exceed " + MAXIMUM_AMOUNT);
		}
	}

	private static void requireDuration(Duration duration, String name) {
		Objects.requireNonNull(duration, name);
		if (duration.isNegative() || duration.compareTo(MAXIMUM_DURATION) > 0) {
			throw new IllegalArgumentException(name + " must be from 0 to " + MAXIMUM_DURATION.toMillis() + " ms");
		}
	}

	/**
	 * Returns the processor capacity that a task reserves on a worker.
	 * @return the capacity in thousandths of a core; 0 for fillers
	 */
	public int reservedMilliCores() {
		return this.filler ? 0 : this.milliCores;
	}

}
