package org.crocuspost.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

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
	 * Returns whether there is nothing to record and nothing to order or cancel after it.
	 * A start can be without a row, since its job has ended in the meantime.
	 * @return true if the batch is empty
	 */
	public boolean isEmpty() {
		return this.jobs.isEmpty() && this.tasks.isEmpty() && this.starts.isEmpty() && this.ends.isEmpty()
				&& this.cleanup.isEmpty();
	}

	/**
	 * Returns the number of rows, where the rows of an expired job count once.
	 * @return the number of rows that {@link #divide()} distributes
	 */
	public int rows() {
		return this.jobs.size() + this.tasks.size() + this.cleanup.tasks.size() + this.cleanup.reduced.size()
				+ this.cleanup.expired.size();
	}

	/**
	 * Returns the length of the rows to write.
	 * @return the number of characters without the keys
	 */
	public int characters() {
		int total = 0;
		for (String row : this.jobs.values()) {
			total += row.length();
		}
		for (String row : this.tasks.values()) {
			total += row.length();
		}
		return total;
	}

	/**
	 * Divides the batch into two of about the same number of rows, to be recorded one
	 * after the other. The rows of jobs come before those of tasks, which must not
	 * precede them. The ends are in the second one, since their acknowledgement must not
	 * precede the record of any task.
	 * @return both parts
	 */
	public List<DispatchBatch> divide() {
		int half = rows() / 2;
		return List.of(part(0, half, Map.of()), part(half, rows(), this.ends));
	}

	/**
	 * Returns the batch without some of the jobs whose state is not kept any longer.
	 * @param kept tells the jobs whose state is kept for now
	 * @return the batch
	 */
	public DispatchBatch keepingStates(Predicate<String> kept) {
		return new DispatchBatch(this.jobs, this.tasks, this.starts, this.ends, new Cleanup(this.cleanup.tasks,
				this.cleanup.reduced, this.cleanup.expired.stream().filter(kept.negate()).toList()));
	}

	/**
	 * Returns what must not be recorded before the rows of some jobs are.
	 * @param requiredJobs the identities of the jobs
	 * @return the rows and starts of their tasks, and the ends
	 */
	public DispatchBatch requiring(Set<String> requiredJobs) {
		return new DispatchBatch(Map.of(), tasks((task) -> requiredJobs.contains(task.job())),
				starts((task) -> requiredJobs.contains(task.job())), this.ends, Cleanup.NONE);
	}

	/**
	 * Returns what may be recorded before the rows of some jobs are.
	 * @param missingJobs the identities of the jobs
	 * @return the batch without what {@link #requiring} returns
	 */
	public DispatchBatch notRequiring(Set<String> missingJobs) {
		return new DispatchBatch(this.jobs, tasks((task) -> !missingJobs.contains(task.job())),
				starts((task) -> !missingJobs.contains(task.job())), Map.of(), this.cleanup);
	}

	private Map<TaskKey, String> tasks(Predicate<TaskKey> condition) {
		Map<TaskKey, String> result = new LinkedHashMap<>(this.tasks);
		result.keySet().removeIf(condition.negate());
		return result;
	}

	private List<Start> starts(Predicate<TaskKey> condition) {
		return this.starts.stream().filter((start) -> condition.test(start.task())).toList();
	}

	private DispatchBatch part(int from, int to, Map<String, WorkerEnds> partEnds) {
		int offset = 0;
		Map<String, String> partJobs = slice(List.copyOf(this.jobs.keySet()), from, to).stream()
			.collect(Collectors.toMap(Function.identity(), this.jobs::get));
		offset += this.jobs.size();
		Map<TaskKey, String> partTasks = slice(List.copyOf(this.tasks.keySet()), from - offset, to - offset).stream()
			.collect(Collectors.toMap(Function.identity(), this.tasks::get));
		offset += this.tasks.size();
		List<TaskKey> removedTasks = slice(this.cleanup.tasks, from - offset, to - offset);
		offset += this.cleanup.tasks.size();
		List<String> reduced = slice(this.cleanup.reduced, from - offset, to - offset);
		offset += this.cleanup.reduced.size();
		List<String> expired = slice(this.cleanup.expired, from - offset, to - offset);
		// A start whose task needs no row any more is in the first part.
		List<Start> partStarts = this.starts.stream()
			.filter((start) -> this.tasks.containsKey(start.task()) ? partTasks.containsKey(start.task()) : from == 0)
			.toList();
		return new DispatchBatch(partJobs, partTasks, partStarts, partEnds,
				new Cleanup(removedTasks, reduced, expired));
	}

	private static <T> List<T> slice(List<T> list, int from, int to) {
		int start = Math.min(Math.max(from, 0), list.size());
		return list.subList(start, Math.max(start, Math.min(to, list.size())));
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
