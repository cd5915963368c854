package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.crocuspost.job.TaskKey;

/**
 * Collects the changes that have to be recorded in the store, and divides them into
 * batches that fit into one transaction. Not thread-safe.
 *
 * <p>
 * Each row counts once, however often it changes before it is recorded. Rows are recorded
 * in the order in which they changed first, so that none waits for ever when changes
 * arrive faster than they are recorded.
 */
final class PendingChanges {

	private final Set<String> jobs = new LinkedHashSet<>();

	private final Set<TaskKey> tasks = new LinkedHashSet<>();

	private final Map<TaskKey, DispatchBatch.Start> starts = new HashMap<>();

	private final Map<String, DispatchBatch.WorkerEnds> ends = new HashMap<>();

	void jobChanged(String job) {
		this.jobs.add(job);
	}

	void taskChanged(TaskKey task) {
		this.tasks.add(task);
	}

	void runPlaced(DispatchBatch.Start start) {
		this.tasks.add(start.task());
		this.starts.put(start.task(), start);
	}

	void endsProcessed(String host, DispatchBatch.WorkerEnds processed) {
		this.ends.put(host, processed);
	}

	boolean isEmpty() {
		return this.jobs.isEmpty() && this.tasks.isEmpty() && this.ends.isEmpty();
	}

	/**
	 * Takes the next changes. Ends are included only once all changes of tasks are: the
	 * acknowledgement of an end must not precede its record.
	 * @param limit the maximum number of rows
	 * @param jobRow returns the stored form of a job, or an empty text if the job is not
	 * kept any more
	 * @param taskRow returns the stored form of a task, or an empty text if the task does
	 * not have to be recorded any more
	 * @return a batch without cleanup
	 */
	DispatchBatch take(int limit, Function<String, String> jobRow, Function<TaskKey, String> taskRow) {
		Map<String, String> jobRows = new LinkedHashMap<>();
		Map<TaskKey, String> taskRows = new LinkedHashMap<>();
		List<DispatchBatch.Start> taken = new ArrayList<>();
		// Neither kind of rows may delay the other when there are too many of one.
		int jobLimit = Math.max(limit / 2, limit - this.tasks.size());
		for (Iterator<String> iterator = this.jobs.iterator(); iterator.hasNext() && jobRows.size() < jobLimit;) {
			String job = iterator.next();
			String row = jobRow.apply(job);
			if (!row.isEmpty()) {
				jobRows.put(job, row);
			}
			iterator.remove();
		}
		int taskLimit = limit - jobRows.size();
		for (Iterator<TaskKey> iterator = this.tasks.iterator(); iterator.hasNext() && taskRows.size() < taskLimit;) {
			TaskKey task = iterator.next();
			String row = taskRow.apply(task);
			if (!row.isEmpty()) {
				taskRows.put(task, row);
			}
			DispatchBatch.Start start = this.starts.remove(task);
			if (start != null) {
				taken.add(start);
			}
			iterator.remove();
		}
		Map<String, DispatchBatch.WorkerEnds> takenEnds = Map.of();
		if (this.jobs.isEmpty() && this.tasks.isEmpty()) {
			takenEnds = Map.copyOf(this.ends);
			this.ends.clear();
		}
		return new DispatchBatch(jobRows, taskRows, taken, takenEnds, DispatchBatch.Cleanup.NONE);
	}

}
