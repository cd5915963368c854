package org.crocuspost.bench.policy;

import java.util.Comparator;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Evicts the largest task of a worker while the service misses its latency objective,
 * with a minimum interval between the evictions on a worker.
 */
final class EvictOnBreachControl implements BatchControl {

	private static final int SECONDS_BETWEEN_EVICTIONS = 5;

	private final PlacementPolicy placement;

	private final int[] nextEvictionSteps;

	EvictOnBreachControl(PlacementPolicy placement, int workers) {
		this.placement = placement;
		this.nextEvictionSteps = new int[workers];
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor) {
		if (worker.pressure() <= 1 || now.step() < this.nextEvictionSteps[worker.index()]) {
			return;
		}
		worker.tasks()
			.stream()
			.max(Comparator.comparingLong((task) -> task.reserved().milliCores()))
			.ifPresent((task) -> {
				evictor.evict(task);
				this.nextEvictionSteps[worker.index()] = now.step() + SECONDS_BETWEEN_EVICTIONS;
			});
	}

}
