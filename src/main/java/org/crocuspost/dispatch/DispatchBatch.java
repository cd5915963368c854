package org.crocuspost.dispatch;

import java.util.List;
import java.util.Map;

import org.crocuspost.job.TaskKey;

/**
 * Holds decisions that must be recorded in the store before they take effect.
 *
 * @param jobs the stored form of each changed job by job identity
 * @param starts the runs to order after the jobs are recorded
 * @param ends the newest processed end of a run by host, to be acknowledged after the
 * jobs are recorded
 * @param removals the identities of jobs to remove from the store
 */
public record DispatchBatch(Map<String, String> jobs, List<Start> starts, Map<String, WorkerEnds> ends,
		List<String> removals) {

	public DispatchBatch {
		jobs = Map.copyOf(jobs);
		starts = List.copyOf(starts);
		ends = Map.copyOf(ends);
		removals = List.copyOf(removals);
	}

	/**
	 * Returns whether there is nothing to record.
	 * @return true if the batch is empty
	 */
	public boolean isEmpty() {
		return this.jobs.isEmpty() && this.ends.isEmpty() && this.removals.isEmpty();
	}

	/**
	 * A run to start on a host.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 */
	public record Start(TaskKey task, int run, String host) {
	}

	/**
	 * Number of the newest processed end in one incarnation of a worker.
	 *
	 * @param worker the identity of the worker
	 * @param born the start of the incarnation, Unix time in milliseconds
	 * @param number the number of the newest processed end
	 */
	public record WorkerEnds(String worker, long born, long number) {
	}

}
