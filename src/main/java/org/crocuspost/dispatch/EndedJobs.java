package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.crocuspost.job.TaskKey;

/**
 * Decides which rows of ended jobs are removed, and when. Not thread-safe.
 *
 * <p>
 * A new leader reads all rows before it decides anything, so the rows of a job are
 * reduced to its state shortly after it has ended and all its runs are gone: the rows of
 * its tasks are removed, and its specification is replaced by a mark, which keeps a
 * repeated submission from running it again. The state is removed once callers may not
 * ask for it any more.
 */
final class EndedJobs {

	/**
	 * Time after the end of a job for which its rows are kept unchanged. Runs of a job
	 * that was cancelled are stopped within this time, and the resources that they use
	 * are known from the specification.
	 */
	static final Duration REDUCTION_DELAY = Duration.ofSeconds(8);

	private static final int ROWS_OF_EXPIRED_JOB = 3;

	private final Duration retention;

	private final Map<String, EndedJob> jobs = new HashMap<>();

	private final TreeSet<EndedJob> unreduced = new TreeSet<>(EndedJob.ORDER);

	private final TreeSet<EndedJob> reduced = new TreeSet<>(EndedJob.ORDER);

	EndedJobs(Duration retention) {
		this.retention = retention;
	}

	/**
	 * Adds a job whose rows are still whole.
	 * @param id the identity of the job
	 * @param endedMillis the time of its end, Unix time in milliseconds
	 * @param recordedTasks the tasks that may have rows
	 */
	void add(String id, long endedMillis, List<TaskKey> recordedTasks) {
		if (!this.jobs.containsKey(id)) {
			EndedJob job = new EndedJob(id, endedMillis, recordedTasks);
			this.jobs.put(id, job);
			this.unreduced.add(job);
		}
	}

	/**
	 * Adds a job whose rows an earlier leader has reduced.
	 * @param id the identity of the job
	 * @param endedMillis the time of its end, Unix time in milliseconds
	 */
	void addReduced(String id, long endedMillis) {
		if (!this.jobs.containsKey(id)) {
			EndedJob job = new EndedJob(id, endedMillis, List.of());
			this.jobs.put(id, job);
			this.reduced.add(job);
		}
	}

	boolean contains(String id) {
		return this.jobs.containsKey(id);
	}

	/**
	 * Returns whether rows can be removed.
	 * @param nowMillis the current Unix time in milliseconds
	 * @return true if {@link #next} may return rows
	 */
	boolean isDue(long nowMillis) {
		return (!this.unreduced.isEmpty() && reducible(this.unreduced.first(), nowMillis))
				|| (!this.reduced.isEmpty() && expired(this.reduced.first(), nowMillis));
	}

	/**
	 * Selects rows to remove. They are selected again until they are confirmed by
	 * {@link #removed}.
	 * @param limit the maximum number of rows
	 * @param nowMillis the current Unix time in milliseconds
	 * @param jobsWithRuns the jobs of which runs may still exist
	 * @return the rows
	 */
	DispatchBatch.Cleanup next(int limit, long nowMillis, Set<String> jobsWithRuns) {
		List<String> expiredJobs = new ArrayList<>();
		int rows = 0;
		for (EndedJob job : this.reduced) {
			if (!expired(job, nowMillis) || rows + ROWS_OF_EXPIRED_JOB > limit) {
				break;
			}
			rows += ROWS_OF_EXPIRED_JOB;
			expiredJobs.add(job.id);
		}
		List<TaskKey> tasks = new ArrayList<>();
		List<String> reducedJobs = new ArrayList<>();
		for (EndedJob job : this.unreduced) {
			if (!reducible(job, nowMillis) || rows >= limit) {
				break;
			}
			if (jobsWithRuns.contains(job.id)) {
				continue;
			}
			int count = Math.min(limit - rows, job.recordedTasks.size());
			tasks.addAll(job.recordedTasks.subList(0, count));
			rows += count;
			if (count == job.recordedTasks.size() && rows < limit) {
				rows++;
				reducedJobs.add(job.id);
			}
		}
		return new DispatchBatch.Cleanup(tasks, reducedJobs, expiredJobs);
	}

	/**
	 * Records that rows were removed.
	 * @param cleanup the rows
	 */
	void removed(DispatchBatch.Cleanup cleanup) {
		cleanup.tasks().forEach((task) -> {
			EndedJob job = this.jobs.get(task.job());
			if (job != null) {
				job.recordedTasks.remove(task);
			}
		});
		cleanup.reduced().forEach((id) -> {
			EndedJob job = this.jobs.get(id);
			if (job != null && this.unreduced.remove(job)) {
				this.reduced.add(job);
			}
		});
		cleanup.expired().forEach((id) -> {
			EndedJob job = this.jobs.remove(id);
			if (job != null) {
				this.reduced.remove(job);
			}
		});
	}

	private static boolean reducible(EndedJob job, long nowMillis) {
		return nowMillis - job.endedMillis >= REDUCTION_DELAY.toMillis();
	}

	private boolean expired(EndedJob job, long nowMillis) {
		return nowMillis - job.endedMillis > this.retention.toMillis();
	}

	private static final class EndedJob {

		private static final Comparator<EndedJob> ORDER = Comparator.comparingLong((EndedJob job) -> job.endedMillis)
			.thenComparing((job) -> job.id);

		private final String id;

		private final long endedMillis;

		private final List<TaskKey> recordedTasks;

		private EndedJob(String id, long endedMillis, List<TaskKey> recordedTasks) {
			this.id = id;
			this.endedMillis = endedMillis;
			this.recordedTasks = new ArrayList<>(recordedTasks);
		}

	}

}
