package org.crocuspost.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Alike tasks of a job.
 *
 * @param taskCount number of tasks
 * @param milliCores processor that each task requests, in thousandths of a core
 * @param memoryMegabytes memory that each task requests
 * @param accelerators accelerators that each task requests
 * @param estimate rough run time of a task; zero if unknown
 * @param predecessors numbers of earlier steps whose tasks must all be done first
 * @param checkpointing whether the tasks save their progress
 * @param gang whether all tasks work only together
 * @param sameRack whether tasks on several racks are slowed down
 * @param requiredLabel label that a worker must have; empty if none
 * @param dataRack rack that holds the data; empty if it does not matter
 * @param perWorkerLimit most tasks of the step on one worker; 0 if unlimited
 * @param speculative whether copies of a task may run in parallel
 * @param lasting whether tasks run until the job is cancelled
 * @param image names what the tasks run; tasks of one image behave alike
 * @param tailTarget bound on the tail latency of a task that serves users; zero if none
 * @param filler whether the tasks use only capacity that others leave unused
 * @param unavailableLimit how many tasks may be unavailable at once through actions of
 * the scheduler; negative if unlimited
 */
public record StepSpecification(int taskCount, int milliCores, int memoryMegabytes, int accelerators, Duration estimate,
		List<Integer> predecessors, boolean checkpointing, boolean gang, boolean sameRack, String requiredLabel,
		String dataRack, int perWorkerLimit, boolean speculative, boolean lasting, String image, Duration tailTarget,
		boolean filler, int unavailableLimit) {

	public StepSpecification {
		if (taskCount < 1) {
			throw new IllegalArgumentException("a step has at least one task");
		}
		if (milliCores < 0 || memoryMegabytes < 0 || accelerators < 0) {
			throw new IllegalArgumentException("requested resources must not be negative");
		}
		predecessors = List.copyOf(predecessors);
		Objects.requireNonNull(estimate, "estimate");
		Objects.requireNonNull(tailTarget, "tailTarget");
	}

	/**
	 * Processor that counts against the capacity of a worker.
	 * @return thousandths of a core; 0 for fillers
	 */
	public int reservedMilliCores() {
		return this.filler ? 0 : this.milliCores;
	}

}
