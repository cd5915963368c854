package org.crocuspost.operations;

import org.crocuspost.report.BurnReport;

/**
 * Where the views come from. Each is given by the slice that has the data.
 *
 * @param endpoints the endpoints that this entry knows
 * @param batch batch work
 * @param requestExplainer says what became of a request
 * @param burn the service-level burn
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
	 * @param view the endpoints that this entry knows
	 * @return the views
	 */
	public OperationsViews withEndpoints(View<EndpointView> view) {
		return new OperationsViews(view, this.batch, this.requestExplainer, this.burn);
	}

	/**
	 * Returns the same views with other views of batch work.
	 * @param views batch work
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
	 * @param view the service-level burn
	 * @return the views
	 */
	public OperationsViews withBurn(View<BurnReport> view) {
		return new OperationsViews(this.endpoints, this.batch, this.requestExplainer, view);
	}

}
