package org.crocuspost.operations;

import org.crocuspost.report.BurnReport;

/**
 * Sources of the views. Each is supplied by the component that holds the data.
 *
 * @param endpoints the endpoints that have been announced to this entry
 * @param batch the views of batch work
 * @param requestExplainer explains the outcome of a request
 * @param burn the rates at which services use up their error budgets
 */
public record OperationsViews(View<EndpointView> endpoints, BatchViews batch, Explainer requestExplainer,
		View<BurnReport> burn) {

	/**
	 * Views without data.
	 */
	public static final OperationsViews EMPTY = new OperationsViews(View.empty(), BatchViews.EMPTY,
			Explainer.none("request"), View.empty());

	/**
	 * Returns the same views with other endpoints.
	 * @param view the endpoints that have been announced to this entry
	 * @return the views
	 */
	public OperationsViews withEndpoints(View<EndpointView> view) {
		return new OperationsViews(view, this.batch, this.requestExplainer, this.burn);
	}

	/**
	 * Returns the same views with other views of batch work.
	 * @param views the views of batch work
	 * @return the views
	 */
	public OperationsViews withBatch(BatchViews views) {
		return new OperationsViews(this.endpoints, views, this.requestExplainer, this.burn);
	}

	/**
	 * Returns the same views with another explainer of requests.
	 * @param explainer explains requests
	 * @return the views
	 */
	public OperationsViews withRequestExplainer(Explainer explainer) {
		return new OperationsViews(this.endpoints, this.batch, explainer, this.burn);
	}

	/**
	 * Returns the same views with another burn report.
	 * @param view the rates at which services use up their error budgets
	 * @return the views
	 */
	public OperationsViews withBurn(View<BurnReport> view) {
		return new OperationsViews(this.endpoints, this.batch, this.requestExplainer, view);
	}

}
