package org.crocuspost.dispatch;

import java.util.List;
import java.util.Map;

import org.crocuspost.job.TaskKey;

/**
 * What has to be recorded before it may take effect.
 *
 * @param jobs stored form of each changed job by its identity
 * @param starts runs to order once the jobs are recorded
 * @param ends newest processed end by host, to be acknowledged once the jobs are recorded
 * @param removals identities of jobs that are no longer kept
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
	 * Says whether there is nothing to record.
	 * @return true if the batch is empty
	 */
	public boolean isEmpty() {
		return this.jobs.isEmpty() && this.ends.isEmpty() && this.removals.isEmpty();
	}

	/**
	 * A run to order.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 */
	public record Start(TaskKey task, int run, String host) {
	}

	/**
	 * Ends of one life of a worker.
	 *
	 * @param worker the worker
	 * @param born the start of the worker, Unix time in milliseconds
	 * @param number the newest processed end
	 */
	public record WorkerEnds(String worker, long born, long number) {
	}

}
