package org.crocuspost.lead;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.StoredRow;

/**
 * A job that was accepted in a simulated day, with the ends of its tasks that the agents
 * have acknowledged.
 */
final class SimulatedJob {

	private static final int ATTEMPTS = 4;

	private final JobSubmission submission;

	private final double work;

	private final double acceptedSecond;

	private final Set<TaskKey> done = new HashSet<>();

	private int failures;

	SimulatedJob(JobSubmission submission, double work, double acceptedSecond) {
		this.submission = submission;
		this.work = work;
		this.acceptedSecond = acceptedSecond;
	}

	String id() {
		return this.submission.id();
	}

	String queue() {
		return this.submission.queue();
	}

	List<StepSpecification> steps() {
		return this.submission.specification().steps();
	}

	/**
	 * Returns the work of each task.
	 * @return seconds
	 */
	double work() {
		return this.work;
	}

	double acceptedSecond() {
		return this.acceptedSecond;
	}

	boolean lasting() {
		return steps().get(0).lasting();
	}

	void endNoted(TaskKey task, String kind) {
		if (kind.equals("done")) {
			this.done.add(task);
		}
		this.failures += kind.equals("failed") ? 1 : 0;
	}

	boolean isDone(TaskKey task) {
		return this.done.contains(task);
	}

	/**
	 * Returns whether so many runs have failed that the job may be given up.
	 * @return true if it may
	 */
	boolean mayFail() {
		return this.failures >= ATTEMPTS;
	}

	/**
	 * Returns the state of the job that the leader has recorded.
	 * @param rows the store
	 * @return the state, or empty if none is recorded
	 */
	Optional<JobState> stored(MemoryRowStore rows) {
		StoredRow row = rows.row(Tables.LEDGER, Tables.PROGRESS_PREFIX + id());
		return row.exists() ? Optional.of(JobSummary.read(row.value()).state()) : Optional.empty();
	}

	private List<TaskKey> tasks(int step) {
		return IntStream.range(0, steps().get(step).taskCount())
			.mapToObj((index) -> new TaskKey(id(), 0, step, index))
			.toList();
	}

	boolean finished() {
		return this.done.containsAll(tasks(steps().size() - 1));
	}

	/**
	 * Returns the tasks whose turn has come and that are not done.
	 * @return the tasks of the first step that is not done
	 */
	List<TaskKey> dueTasks() {
		for (int step = 0; step < steps().size(); step++) {
			List<TaskKey> open = tasks(step).stream().filter((task) -> !isDone(task)).toList();
			if (!open.isEmpty()) {
				return open;
			}
		}
		return List.of();
	}

}
