package org.crocuspost.dispatch;

import java.util.Collection;
import java.util.Map;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Selects the worker that runs a task.
 */
public interface PlacementPolicy {

	/**
	 * Selects the best worker for a task.
	 * @param task the task
	 * @param candidates the hosts whose workers accept tasks, with their free resources
	 * @return the best host, or null if the task has to wait
	 */
	@Nullable CandidateHost choose(TaskProgress task, Collection<CandidateHost> candidates);

	/**
	 * Selects a worker for a task of a job that has had no running task for some time.
	 * Any worker with enough free resources is better than none.
	 * @param task the task
	 * @param candidates the hosts whose workers accept tasks, with their free resources
	 * @return the least unsuitable host, or null if no worker can run the task
	 */
	@Nullable CandidateHost chooseForStarving(TaskProgress task, Collection<CandidateHost> candidates);

	/**
	 * Returns by how much a filler is expected to raise the pressure on the services of a
	 * host's worker.
	 * @param step the step of the filler
	 * @param host the host
	 * @return the largest increase of the ratio of tail latency to target of a service at
	 * full pace; 0 if it is unknown
	 */
	default double addedPressure(StepSpecification step, HostState host) {
		return 0;
	}

	/**
	 * Returns the pressure to set aside on a host's worker for a filler that is placed
	 * beside services, until reports show what it really is.
	 * @param step the step of the filler
	 * @param host the host
	 * @return the expected increases by image of a service; cautious ones for a service
	 * beside which the image is unknown
	 */
	default Map<String, Double> reservedPressures(StepSpecification step, HostState host) {
		return Map.of();
	}

	/**
	 * Returns whether fillers of a step press on the services of nearly all workers, so
	 * that they need workers without services.
	 * @param step the step of the fillers
	 * @param hosts the hosts whose workers accept tasks
	 * @return true if hardly any of the workers with services suits them
	 */
	default boolean needsFreeWorker(StepSpecification step, Collection<HostState> hosts) {
		return false;
	}

	/**
	 * Returns whether another filler of an unknown image may try how much it presses on
	 * services.
	 * @param step the step of the filler
	 * @param candidates the hosts whose workers accept tasks
	 * @return true if it may, or if the step is no filler
	 */
	default boolean mayTry(StepSpecification step, Collection<CandidateHost> candidates) {
		return true;
	}

	/**
	 * Returns what keeps a task from a worker that can run it.
	 * @param step the step of the task
	 * @param candidate the host of the worker, with its free resources
	 * @param mayTry whether another filler of an unknown image may start beside services
	 * @return the condition; {@link WorkerCondition#NONE} if the worker suits the task
	 */
	default WorkerCondition suitability(StepSpecification step, CandidateHost candidate, boolean mayTry) {
		return WorkerCondition.SUITED;
	}

	/**
	 * Returns whether a worker satisfies the constraints of a task and has enough free
	 * resources for it.
	 * @param task the task
	 * @param candidate the host of the worker, with its free resources
	 * @return true if the worker can run the task
	 */
	static boolean feasible(TaskProgress task, CandidateHost candidate) {
		return candidate.fits(task.step()) && candidate.admits(task) && !candidate.awaitsStart()
				&& permitted(task, candidate);
	}

	/**
	 * Returns whether a worker satisfies the constraints of a task, whatever is free.
	 * @param task the task
	 * @param candidate the host of the worker
	 * @return true if the worker has the label and may run one more task of the step
	 */
	static boolean permitted(TaskProgress task, CandidateHost candidate) {
		StepSpecification step = task.step();
		if (!step.requiredLabel().isEmpty() && !candidate.labels().contains(step.requiredLabel())) {
			return false;
		}
		return step.perWorkerLimit() == 0
				|| candidate.host().tasksOfStep(task.key()) + candidate.trialTasks() < step.perWorkerLimit();
	}

}
