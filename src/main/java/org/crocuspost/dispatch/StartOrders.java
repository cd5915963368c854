package org.crocuspost.dispatch;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.TaskTraits;

/**
 * Builds the messages with which agents start runs.
 */
final class StartOrders {

	private final PlacementPolicy policy;

	StartOrders(PlacementPolicy policy) {
		this.policy = policy;
	}

	/**
	 * Returns the order to start a run.
	 * @param job the job of the task
	 * @param placement the run
	 * @param host the host that starts it
	 * @return the order
	 */
	StartOrder order(JobProgress job, Placement placement, HostState host) {
		StepSpecification step = placement.task().step();
		return StartOrder.newBuilder()
			.setTask(TaskNames.name(placement.task().key()))
			.setRun(placement.run())
			.setSpecification(job.submission().specification().text())
			.setCheckpoint(placement.task().checkpoint())
			.setTraits(traits(step, host))
			.setMilliCores(step.reservedMilliCores())
			.setMemoryMegabytes(step.memoryMegabytes())
			.setAccelerators(step.accelerators())
			.setWorker(host.worker().getId())
			.setWorkerBorn(host.worker().getBorn())
			.build();
	}

	/**
	 * Returns what an agent must know of a task to pace it and the fillers beside it.
	 * @param step the step of the task
	 * @param host the host that runs it
	 * @return the traits
	 */
	TaskTraits traits(StepSpecification step, HostState host) {
		return TaskTraits.newBuilder()
			.setFiller(step.filler())
			.setTailTarget((int) step.tailTarget().toMillis())
			.setImage(step.image())
			.setPressure(step.filler() ? this.policy.addedPressure(step, host) : 0)
			.build();
	}

}
