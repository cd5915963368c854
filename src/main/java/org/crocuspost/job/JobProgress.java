package org.crocuspost.job;

import java.util.ArrayList;
import java.util.List;

/**
 * How far a job is. Mutable; belongs to the leader's event loop.
 *
 * <p>
 * The stored form has a line for the job and a line for each task that was ever assigned,
 * so that a job that waits costs little.
 */
public final class JobProgress {

	private static final int TASK_FIELDS = 10;

	private final JobSubmission submission;

	private final List<List<List<TaskProgress>>> occurrences = new ArrayList<>();

	private JobState state = JobState.QUEUED;

	private long endedMillis;

	/**
	 * Creates a job of which nothing has run.
	 * @param submission the job as it was accepted
	 */
	public JobProgress(JobSubmission submission) {
		this.submission = submission;
		List<StepSpecification> steps = submission.specification().steps();
		for (int occurrence = 0; occurrence < submission.specification().occurrences(); occurrence++) {
			List<List<TaskProgress>> tasksOfSteps = new ArrayList<>();
			for (int step = 0; step < steps.size(); step++) {
				List<TaskProgress> tasks = new ArrayList<>();
				for (int index = 0; index < steps.get(step).taskCount(); index++) {
					tasks.add(new TaskProgress(new TaskKey(submission.id(), occurrence, step, index), steps.get(step)));
				}
				tasksOfSteps.add(List.copyOf(tasks));
			}
			this.occurrences.add(List.copyOf(tasksOfSteps));
		}
	}

	/**
	 * Returns a task.
	 * @param key the identity of the task, which names this job
	 * @return the task, or null if the job has none of that name
	 */
	public @org.jspecify.annotations.Nullable TaskProgress task(TaskKey key) {
		if (key.occurrence() < 0 || key.occurrence() >= this.occurrences.size()) {
			return null;
		}
		List<List<TaskProgress>> steps = this.occurrences.get(key.occurrence());
		if (key.step() < 0 || key.step() >= steps.size() || key.index() < 0
				|| key.index() >= steps.get(key.step()).size()) {
			return null;
		}
		return steps.get(key.step()).get(key.index());
	}

	/**
	 * Returns the tasks of a step.
	 * @param occurrence the occurrence
	 * @param step the step
	 * @return the tasks in order
	 */
	public List<TaskProgress> tasks(int occurrence, int step) {
		return this.occurrences.get(occurrence).get(step);
	}

	/**
	 * Says whether all steps before a step are done.
	 * @param occurrence the occurrence
	 * @param step the step
	 * @return true if the step may run
	 */
	public boolean predecessorsDone(int occurrence, int step) {
		for (int predecessor : this.submission.specification().steps().get(step).predecessors()) {
			if (!allDone(tasks(occurrence, predecessor))) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Says whether all tasks of a step are done.
	 * @param occurrence the occurrence
	 * @param step the step
	 * @return true if the step is done
	 */
	public boolean stepDone(int occurrence, int step) {
		return allDone(tasks(occurrence, step));
	}

	private static boolean allDone(List<TaskProgress> tasks) {
		for (TaskProgress task : tasks) {
			if (task.status() != TaskStatus.DONE) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Says whether every task is done.
	 * @return true if the job is complete
	 */
	public boolean allDone() {
		for (List<List<TaskProgress>> steps : this.occurrences) {
			for (List<TaskProgress> tasks : steps) {
				if (!allDone(tasks)) {
					return false;
				}
			}
		}
		return true;
	}

	/**
	 * Says whether a task is assigned to a worker.
	 * @return true if something runs or is about to
	 */
	public boolean hasAssignedTask() {
		for (List<List<TaskProgress>> steps : this.occurrences) {
			for (List<TaskProgress> tasks : steps) {
				for (TaskProgress task : tasks) {
					if (task.status() == TaskStatus.PLACED) {
						return true;
					}
				}
			}
		}
		return false;
	}

	/**
	 * Returns the number of tasks that are not done.
	 * @return the number
	 */
	public int unfinishedTaskCount() {
		int left = 0;
		for (List<List<TaskProgress>> steps : this.occurrences) {
			for (List<TaskProgress> tasks : steps) {
				for (TaskProgress task : tasks) {
					left += (task.status() == TaskStatus.DONE) ? 0 : 1;
				}
			}
		}
		return left;
	}

	/**
	 * Returns every task.
	 * @return the tasks in order
	 */
	public List<TaskProgress> allTasks() {
		List<TaskProgress> result = new ArrayList<>();
		this.occurrences.forEach((steps) -> steps.forEach(result::addAll));
		return result;
	}

	/**
	 * Notes that a task was assigned.
	 */
	public void markActive() {
		if (this.state == JobState.QUEUED) {
			this.state = JobState.ACTIVE;
		}
	}

	/**
	 * Ends the job.
	 * @param end a terminal state
	 * @param nowMillis the Unix time in milliseconds
	 */
	public void end(JobState end, long nowMillis) {
		this.state = end;
		this.endedMillis = nowMillis;
	}

	/**
	 * Writes the stored form.
	 * @return the text
	 */
	public String write() {
		StringBuilder text = new StringBuilder();
		text.append(new JobSummary(this.submission.queue(), this.state, this.endedMillis).write());
		for (TaskProgress task : allTasks()) {
			if (task.touched() || task.status() != TaskStatus.WAITING) {
				text.append('\n').append(task.write());
			}
		}
		return text.toString();
	}

	/**
	 * Restores the stored form.
	 * @param text the text
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public void restore(String text) {
		String[] lines = text.split("\n");
		JobSummary summary = JobSummary.read(lines[0]);
		this.state = summary.state();
		this.endedMillis = summary.endedMillis();
		for (int line = 1; line < lines.length; line++) {
			String[] parts = lines[line].split(" ");
			if (parts.length != TASK_FIELDS) {
				throw new IllegalArgumentException("malformed task: " + lines[line]);
			}
			TaskProgress task = task(new TaskKey(this.submission.id(), Integer.parseInt(parts[0]),
					Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
			if (task == null) {
				throw new IllegalArgumentException("unknown task: " + lines[line]);
			}
			task.restore(parts);
		}
	}

	public JobSubmission submission() {
		return this.submission;
	}

	public String id() {
		return this.submission.id();
	}

	public JobState state() {
		return this.state;
	}

	public long endedMillis() {
		return this.endedMillis;
	}

	public int occurrences() {
		return this.occurrences.size();
	}

}
