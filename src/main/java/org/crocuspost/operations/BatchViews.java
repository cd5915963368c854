package org.crocuspost.operations;

/**
 * Views of batch work: workers, jobs and tasks.
 *
 * @param workers the workers
 * @param jobs the batch jobs with their progress
 * @param tasks the batch tasks
 * @param taskExplainer explains why a task waits, was evicted or failed
 */
public record BatchViews(View<WorkerView> workers, View<JobView> jobs, View<TaskView> tasks, Explainer taskExplainer) {

	/**
	 * Views without data.
	 */
	public static final BatchViews EMPTY = new BatchViews(View.empty(), View.empty(), View.empty(),
			Explainer.none("task"));

}
