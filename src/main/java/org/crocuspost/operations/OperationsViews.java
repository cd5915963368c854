package org.crocuspost.operations;

import org.crocuspost.report.BurnReport;

/**
 * Where the views come from. Each is given by the slice that has the data.
 *
 * @param endpoints the endpoints that this entry knows
 * @param workers the workers
 * @param jobs the batch jobs with their progress
 * @param tasks the batch tasks
 * @param taskExplainer says why a task waits, was evicted or failed
 * @param requestExplainer says what became of a request
 * @param burn the service-level burn
 */
public record OperationsViews(View<EndpointView> endpoints, View<WorkerView> workers, View<JobView> jobs,
		View<TaskView> tasks, Explainer taskExplainer, Explainer requestExplainer, View<BurnReport> burn) {

	/**
	 * Views without data.
	 */
	public static final OperationsViews EMPTY = new OperationsViews(View.empty(), View.empty(), View.empty(),
			View.empty(), Explainer.none("task"), Explainer.none("request"), View.empty());

	/**
	 * Returns the same views with other endpoints.
	 * @param view the endpoints that this entry knows
	 * @return the views
	 */
	public OperationsViews withEndpoints(View<EndpointView> view) {
		return new OperationsViews(view, this.workers, this.jobs, this.tasks, this.taskExplainer, this.requestExplainer,
				this.burn);
	}

	/**
	 * Returns the same views with other views of batch work.
	 * @param workerView the workers
	 * @param jobView the batch jobs
	 * @param taskView the batch tasks
	 * @param explainer explains tasks
	 * @return the views
	 */
	public OperationsViews withBatch(View<WorkerView> workerView, View<JobView> jobView, View<TaskView> taskView,
			Explainer explainer) {
		return new OperationsViews(this.endpoints, workerView, jobView, taskView, explainer, this.requestExplainer,
				this.burn);
	}

	/**
	 * Returns the same views with another explainer of requests.
	 * @param explainer explains requests
	 * @return the views
	 */
	public OperationsViews withRequestExplainer(Explainer explainer) {
		return new OperationsViews(this.endpoints, this.workers, this.jobs, this.tasks, this.taskExplainer, explainer,
				this.burn);
	}

	/**
	 * Returns the same views with another burn report.
	 * @param view the service-level burn
	 * @return the views
	 */
	public OperationsViews withBurn(View<BurnReport> view) {
		return new OperationsViews(this.endpoints, this.workers, this.jobs, this.tasks, this.taskExplainer,
				this.requestExplainer, view);
	}

}
