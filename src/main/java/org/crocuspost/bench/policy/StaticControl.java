package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Gives each task the same share at all times beside a service, and the whole elsewhere.
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
	public void control(BenchWorker worker, Moment moment, Evictions evictions) {
		if (worker.service().isPresent()) {
			worker.tasks().forEach((task) -> task.percent(this.percent));
		}
	}

}
