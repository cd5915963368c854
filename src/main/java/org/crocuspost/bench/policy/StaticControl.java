package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Limits each task on the workers of services to a constant share of its processor time.
 * Tasks on other workers aren't throttled.
 */
final class StaticControl implements BatchControl {

	private final PlacementPolicy placement;

	private final int percent;

	StaticControl(PlacementPolicy placement, int percent) {
		this.placement = placement;
		this.percent = percent;
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor) {
		if (worker.service().isPresent()) {
			worker.tasks().forEach((task) -> task.sharePercent(this.percent));
		}
	}

}
