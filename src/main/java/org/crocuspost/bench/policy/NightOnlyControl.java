package org.crocuspost.bench.policy;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Runs batch tasks on the workers of services at night only. In the daytime no task
 * starts on them and running tasks are stopped by a share of 0%.
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
	public boolean admits(BenchWorker worker, SimulationTime now) {
		return !now.daytime() || worker.service().isEmpty();
	}

	@Override
	public void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor) {
		if (worker.service().isPresent()) {
			int percent = now.daytime() ? 0 : 100;
			worker.tasks().forEach((task) -> task.sharePercent(percent));
		}
	}

}
