package org.crocuspost.dispatch;

import java.util.List;
import java.util.Map;

import org.crocuspost.job.TaskKey;

/**
 * Holds decisions that must be recorded in the store before they take effect.
 *
 * @param jobs the stored form of each changed job by job identity
 * @param tasks the stored form of each changed task
 * @param starts the runs to order after their tasks are recorded
 * @param ends the newest processed end of a run by host, to be acknowledged after the
 * tasks are recorded
 * @param cleanup the rows of ended jobs that are not needed any more
 */
public record DispatchBatch(Map<String, String> jobs, Map<TaskKey, String> tasks, List<Start> starts,
		Map<String, WorkerEnds> ends, Cleanup cleanup) {

	public DispatchBatch {
		jobs = Map.copyOf(jobs);
		tasks = Map.copyOf(tasks);
		starts = List.copyOf(starts);
		ends = Map.copyOf(ends);
	}

	/**
	 * Returns whether there is nothing to record.
	 * @return true if the batch is empty
	 */
	public boolean isEmpty() {
		return this.jobs.isEmpty() && this.tasks.isEmpty() && this.ends.isEmpty() && this.cleanup.isEmpty();
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

	/**
	 * Rows of ended jobs that are not needed any more.
	 *
	 * @param tasks the tasks whose rows are removed
	 * @param reduced the jobs whose specification is replaced by the mark of an ended job
	 * @param expired the jobs whose state is not kept any longer
	 */
	public record Cleanup(List<TaskKey> tasks, List<String> reduced, List<String> expired) {

		/**
		 * No rows.
		 */
		public static final Cleanup NONE = new Cleanup(List.of(), List.of(), List.of());

		public Cleanup {
			tasks = List.copyOf(tasks);
			reduced = List.copyOf(reduced);
			expired = List.copyOf(expired);
		}

		boolean isEmpty() {
			return this.tasks.isEmpty() && this.reduced.isEmpty() && this.expired.isEmpty();
		}

	}

}
