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
 * arrive faster than they are recorded. Rows of long-running tasks go first, up to three
 * quarters of a batch: after a takeover, several hundred rows of other tasks may wait,
 * and the users of a long-running task are not served until its start is recorded.
 *
 * <p>
 * A leader that takes over between two batches must find the job of each recorded task.
 * Example: 55 jobs with four tasks each are accepted while the store is silent, and a
 * batch holds 90 rows. Jobs change in the order in which they are read, tasks in the
 * order of their jobs' ranks. If a batch took 45 rows of each kind, it could hold tasks
 * of the 50th job without that job. These tasks would be started, and the next leader
 * would start them once more. Therefore, the row of a task takes the waiting row of its
 * job along.
 */
final class PendingChanges {

	/**
	 * Share of a batch that rows of long-running tasks leave to others, so that these do
	 * not wait for ever beside long-running tasks that fail again and again.
	 */
	private static final double SHARE_OF_OTHER_ROWS = 0.25;

	private final Set<String> jobs = new LinkedHashSet<>();

	private final Set<TaskKey> longRunningTasks = new LinkedHashSet<>();

	private final Set<TaskKey> tasks = new LinkedHashSet<>();

	private final Map<TaskKey, DispatchBatch.Start> starts = new HashMap<>();

	private final Map<String, DispatchBatch.WorkerEnds> ends = new HashMap<>();

	void jobChanged(String job) {
		this.jobs.add(job);
	}

	void taskChanged(TaskKey task, boolean longRunning) {
		if (!longRunning) {
			this.tasks.add(task);
		}
		else if (!this.tasks.contains(task)) {
			this.longRunningTasks.add(task);
		}
	}

	void runPlaced(DispatchBatch.Start start, boolean longRunning) {
		taskChanged(start.task(), longRunning);
		this.starts.put(start.task(), start);
	}

	/**
	 * Takes back a batch that was not recorded. Its changes, those of long-running tasks
	 * too, are recorded after those that wait already.
	 * @param batch the batch
	 */
	void takeBack(DispatchBatch batch) {
		this.jobs.addAll(batch.jobs().keySet());
		batch.tasks().keySet().forEach(this::postpone);
		batch.starts().forEach((start) -> {
			postpone(start.task());
			this.starts.putIfAbsent(start.task(), start);
		});
		batch.ends().forEach(this.ends::putIfAbsent);
	}

	private void postpone(TaskKey task) {
		this.longRunningTasks.remove(task);
		this.tasks.add(task);
	}

	void endsProcessed(String host, DispatchBatch.WorkerEnds processed) {
		this.ends.put(host, processed);
	}

	boolean isEmpty() {
		return this.jobs.isEmpty() && waitingTasks() == 0 && this.ends.isEmpty();
	}

	int waitingStarts() {
		return this.starts.size();
	}

	RecordBacklog backlog() {
		return new RecordBacklog(this.jobs.size(), waitingTasks(), this.starts.size());
	}

	private int waitingTasks() {
		return this.longRunningTasks.size() + this.tasks.size();
	}

	/**
	 * Takes the next changes. Ends are included only once all changes of tasks are: the
	 * acknowledgement of an end must not precede its record.
	 * @param limit the maximum number of rows
	 * @param characterLimit the maximum length of all rows; exceeded only by a single row
	 * @param jobRow returns the stored form of a job, or an empty text if the job is not
	 * kept any more
	 * @param taskRow returns the stored form of a task, or an empty text if the task does
	 * not have to be recorded any more
	 * @return a batch without cleanup
	 */
	DispatchBatch take(int limit, int characterLimit, Function<String, String> jobRow,
			Function<TaskKey, String> taskRow) {
		Rows rows = new Rows(limit, characterLimit);
		List<DispatchBatch.Start> taken = new ArrayList<>();
		boolean othersWait = !this.jobs.isEmpty() || !this.tasks.isEmpty();
		int longRunningLimit = othersWait ? limit - (int) (limit * SHARE_OF_OTHER_ROWS) : limit;
		takeTasks(this.longRunningTasks, longRunningLimit, rows, taken, jobRow, taskRow);
		// Neither kind of rows may delay the other when there are too many of one.
		int left = limit - rows.size();
		int jobLimit = rows.jobs.size() + Math.max(left / 2, left - waitingTasks());
		for (Iterator<String> iterator = this.jobs.iterator(); iterator.hasNext() && rows.jobs.size() < jobLimit;) {
			String job = iterator.next();
			if (!rows.addJob(job, jobRow.apply(job))) {
				break;
			}
			iterator.remove();
		}
		takeTasks(this.tasks, limit, rows, taken, jobRow, taskRow);
		takeTasks(this.longRunningTasks, limit, rows, taken, jobRow, taskRow);
		Map<String, DispatchBatch.WorkerEnds> takenEnds = Map.of();
		if (this.jobs.isEmpty() && waitingTasks() == 0) {
			takenEnds = Map.copyOf(this.ends);
			this.ends.clear();
		}
		return new DispatchBatch(rows.jobs, rows.tasks, taken, takenEnds, DispatchBatch.Cleanup.NONE);
	}

	private void takeTasks(Set<TaskKey> waiting, int limit, Rows rows, List<DispatchBatch.Start> taken,
			Function<String, String> jobRow, Function<TaskKey, String> taskRow) {
		for (Iterator<TaskKey> iterator = waiting.iterator(); iterator.hasNext() && rows.size() < limit;) {
			TaskKey task = iterator.next();
			String row = taskRow.apply(task);
			if (!row.isEmpty() && this.jobs.contains(task.job())) {
				if (!rows.addJob(task.job(), jobRow.apply(task.job()))) {
					break;
				}
				this.jobs.remove(task.job());
			}
			if (!rows.addTask(task, row)) {
				break;
			}
			DispatchBatch.Start start = this.starts.remove(task);
			if (start != null) {
				taken.add(start);
			}
			iterator.remove();
		}
	}

	/**
	 * Rows of a batch, up to its limits.
	 */
	private static final class Rows {

		private final int limit;

		private final int characterLimit;

		private final Map<String, String> jobs = new LinkedHashMap<>();

		private final Map<TaskKey, String> tasks = new LinkedHashMap<>();

		private int characters;

		private Rows(int limit, int characterLimit) {
			this.limit = limit;
			this.characterLimit = characterLimit;
		}

		private int size() {
			return this.jobs.size() + this.tasks.size();
		}

		private boolean addJob(String job, String row) {
			return add(this.jobs, job, row);
		}

		private boolean addTask(TaskKey task, String row) {
			return add(this.tasks, task, row);
		}

		/**
		 * Adds a row. An empty one does not have to be recorded.
		 * @param rows the rows of the same kind
		 * @param key the key of the row
		 * @param row the value of the row
		 * @param <K> the type of the key
		 * @return false if the row does not fit
		 */
		private <K> boolean add(Map<K, String> rows, K key, String row) {
			if (row.isEmpty()) {
				return true;
			}
			if (size() >= this.limit || (size() > 0 && this.characters + row.length() > this.characterLimit)) {
				return false;
			}
			this.characters += row.length();
			rows.put(key, row);
			return true;
		}

	}

}
