package org.crocuspost.bench.policy;

import java.util.Arrays;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Limits all tasks of a worker to the same share of their processor time. A control law
 * adjusts the share to the latency of the service.
 */
final class ShareControl implements BatchControl {

	private final PlacementPolicy placement;

	private final ControlLaw law;

	private final double[] shares;

	ShareControl(PlacementPolicy placement, int workers, ControlLaw law) {
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
	public void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor) {
		if (worker.service().isEmpty()) {
			return;
		}
		double nextShare = this.law.next(this.shares[worker.index()], worker.pressure());
		this.shares[worker.index()] = Math.max(0, Math.min(1, nextShare));
		int percent = (int) Math.round(100 * this.shares[worker.index()]);
		worker.tasks().forEach((task) -> task.sharePercent(percent));
	}

	/**
	 * Control law that sets the share in each second.
	 */
	@FunctionalInterface
	interface ControlLaw {

		/**
		 * Additive increase and multiplicative decrease.
		 */
		ControlLaw ADDITIVE_INCREASE = (share, pressure) -> (pressure > 0.9) ? share / 2 : share + 0.02;

		/**
		 * Proportional control around a set point.
		 */
		ControlLaw PROPORTIONAL = (share, pressure) -> share + 0.2 * (0.8 - pressure);

		/**
		 * Stochastic quantile tracking. The ratio of the steps down and up sets the
		 * tracked quantile.
		 */
		ControlLaw QUANTILE_TRACKING = (share, pressure) -> (pressure > 1) ? share - 0.1 : share + 0.001;

		/**
		 * Returns the next share.
		 * @param share the current share, 0 to 1
		 * @param pressure the tail latency of the service divided by its objective
		 * @return the next share, which the caller limits to 0 to 1
		 */
		double next(double share, double pressure);

	}

}
