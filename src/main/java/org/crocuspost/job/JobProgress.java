package org.crocuspost.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Progress of a job. Mutable; used on the leader's event loop only.
 *
 * <p>
 * The stored form has one row for the job, which holds what callers ask for, and one for
 * each task that was ever assigned. A change of a task costs the same in a step of any
 * width, and the processes that only answer callers do not read the tasks.
 */
public final class JobProgress {

	private static final int TASK_KEY_FIELDS = 3;

	private final JobSubmission submission;

	private final List<List<List<TaskProgress>>> occurrences = new ArrayList<>();

	private final List<TaskProgress> allTasks;

	private JobState state = JobState.QUEUED;

	private long endedMillis;

	/**
	 * Creates the progress of a job of which no task has run.
	 * @param submission the accepted job
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
		this.allTasks = this.occurrences.stream().flatMap(List::stream).flatMap(List::stream).toList();
	}

	/**
	 * Returns a task.
	 * @param key the identity of a task of this job
	 * @return the task, or null if the job has no such task
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
	 * @param occurrence the number of the occurrence, from 0
	 * @param step the number of the step, from 0
	 * @return the tasks in the order of their numbers
	 */
	public List<TaskProgress> tasks(int occurrence, int step) {
		return this.occurrences.get(occurrence).get(step);
	}

	/**
	 * Returns whether all predecessors of a step are done.
	 * @param occurrence the number of the occurrence, from 0
	 * @param step the number of the step, from 0
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
	 * Returns whether all tasks of a step are done.
	 * @param occurrence the number of the occurrence, from 0
	 * @param step the number of the step, from 0
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
	 * Returns whether all tasks of the job are done.
	 * @return true if the job is complete
	 */
	public boolean allDone() {
		return allDone(this.allTasks);
	}

	/**
	 * Returns whether any task is assigned to a worker.
	 * @return true if a task is running or about to run
	 */
	public boolean hasAssignedTask() {
		for (TaskProgress task : this.allTasks) {
			if (task.status() == TaskStatus.PLACED) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of tasks that are not done.
	 * @return the number of tasks
	 */
	public int unfinishedTaskCount() {
		int unfinished = 0;
		for (TaskProgress task : this.allTasks) {
			unfinished += (task.status() == TaskStatus.DONE) ? 0 : 1;
		}
		return unfinished;
	}

	/**
	 * Returns all tasks of the job.
	 * @return the tasks, ordered by occurrence, step and number
	 */
	public List<TaskProgress> allTasks() {
		return this.allTasks;
	}

	/**
	 * Marks a queued job as active, since one of its tasks has started on a worker.
	 * @return whether the job was queued before
	 */
	public boolean markActive() {
		if (this.state == JobState.QUEUED) {
			this.state = JobState.ACTIVE;
			return true;
		}
		return false;
	}

	/**
	 * Ends the job.
	 * @param terminalState the state in which the job ends
	 * @param nowMillis the current Unix time in milliseconds
	 */
	public void end(JobState terminalState, long nowMillis) {
		this.state = terminalState;
		this.endedMillis = nowMillis;
	}

	/**
	 * Returns what callers ask for.
	 * @return the summary
	 */
	public JobSummary summary() {
		return new JobSummary(this.submission.queue(), this.state, this.endedMillis);
	}

	/**
	 * Restores the progress from its stored form. Earlier versions stored the tasks in
	 * the row of the job, one line each; such a row is read too.
	 * @param stored the stored rows
	 * @throws IllegalArgumentException if a row is malformed
	 */
	public void restore(StoredProgress stored) {
		stored.job().ifPresent(this::restoreJob);
		stored.tasks().forEach(this::restoreTask);
		this.occurrences.forEach((steps) -> steps.forEach(JobProgress::completeGang));
	}

	/**
	 * Completes a gang of which a member is done. The end of one member completes all of
	 * them, and a leader may have recorded only a part of their rows.
	 * @param tasks the tasks of a step
	 */
	private static void completeGang(List<TaskProgress> tasks) {
		if (tasks.get(0).step().gang() && tasks.stream().anyMatch((task) -> task.status() == TaskStatus.DONE)) {
			tasks.forEach(TaskProgress::complete);
		}
	}

	private void restoreJob(String text) {
		String[] lines = text.split("\n");
		JobSummary summary = JobSummary.read(lines[0]);
		this.state = summary.state();
		this.endedMillis = summary.endedMillis();
		for (int line = 1; line < lines.length; line++) {
			String[] parts = lines[line].split(" ", TASK_KEY_FIELDS + 1);
			if (parts.length <= TASK_KEY_FIELDS) {
				throw new IllegalArgumentException("malformed line of a stored task: " + lines[line]);
			}
			restoreTask(new TaskKey(this.submission.id(), Integer.parseInt(parts[0]), Integer.parseInt(parts[1]),
					Integer.parseInt(parts[2])), parts[TASK_KEY_FIELDS]);
		}
	}

	private void restoreTask(TaskKey key, String text) {
		TaskProgress task = task(key);
		if (task == null) {
			throw new IllegalArgumentException("stored task " + key + " is not part of the job");
		}
		task.restore(text);
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
