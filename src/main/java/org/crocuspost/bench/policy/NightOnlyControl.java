package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Lets batch work run beside services at night only.
 */
final class NightOnlyControl implements BatchControl {

	private final PlacementPolicy placement;

	NightOnlyControl(PlacementPolicy placement) {
		this.placement = placement;
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public boolean admits(BenchWorker worker, Moment moment) {
		return !moment.daytime() || worker.service().isEmpty();
	}

	@Override
	public void control(BenchWorker worker, Moment moment, Evictions evictions) {
		if (worker.service().isPresent()) {
			int percent = moment.daytime() ? 0 : 100;
			worker.tasks().forEach((task) -> task.percent(percent));
		}
	}

}
