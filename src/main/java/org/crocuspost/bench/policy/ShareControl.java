package org.crocuspost.bench.policy;

import java.util.Arrays;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Gives all tasks of a worker the same share, which follows the latency of the service.
 */
final class ShareControl implements BatchControl {

	private final PlacementPolicy placement;

	private final ShareLaw law;

	private final double[] shares;

	ShareControl(PlacementPolicy placement, int workers, ShareLaw law) {
		this.placement = placement;
		this.law = law;
		this.shares = new double[workers];
		Arrays.fill(this.shares, 1);
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public void control(BenchWorker worker, Moment moment, Evictions evictions) {
		if (worker.service().isEmpty()) {
			return;
		}
		double next = this.law.next(this.shares[worker.index()], worker.pressure());
		this.shares[worker.index()] = Math.max(0, Math.min(1, next));
		int percent = (int) Math.round(100 * this.shares[worker.index()]);
		worker.tasks().forEach((task) -> task.percent(percent));
	}

	/**
	 * Law by which the share changes each second.
	 */
	@FunctionalInterface
	interface ShareLaw {

		/**
		 * Additive increase and multiplicative decrease.
		 */
		ShareLaw ADDITIVE_INCREASE = (share, pressure) -> (pressure > 0.9) ? share / 2 : share + 0.02;

		/**
		 * Proportional control around a set point.
		 */
		ShareLaw PROPORTIONAL = (share, pressure) -> share + 0.2 * (0.8 - pressure);

		/**
		 * Stochastic tracking: small steps whose ratio is that of the quantile.
		 */
		ShareLaw QUANTILE_TRACKING = (share, pressure) -> (pressure > 1) ? share - 0.1 : share + 0.001;

		/**
		 * Returns the next share.
		 * @param share the present share, 0 to 1
		 * @param pressure the tail of the latency relative to the objective
		 * @return the next share, cut to 0 to 1 by the caller
		 */
		double next(double share, double pressure);

	}

}
