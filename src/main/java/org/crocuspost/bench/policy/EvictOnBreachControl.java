package org.crocuspost.bench.policy;

import java.util.Comparator;

import org.crocuspost.placement.PlacementPolicy;

/**
 * Evicts the largest task of a worker whose service misses its objective.
 */
final class EvictOnBreachControl implements BatchControl {

	private static final int SECONDS_BETWEEN_EVICTIONS = 5;

	private final PlacementPolicy placement;

	private final int[] nextEviction;

	EvictOnBreachControl(PlacementPolicy placement, int workers) {
		this.placement = placement;
		this.nextEviction = new int[workers];
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public void control(BenchWorker worker, Moment moment, Evictions evictions) {
		if (worker.pressure() <= 1 || moment.step() < this.nextEviction[worker.index()]) {
			return;
		}
		worker.tasks()
			.stream()
			.max(Comparator.comparingLong((task) -> task.reserved().milliCores()))
			.ifPresent((task) -> {
				evictions.evict(task);
				this.nextEviction[worker.index()] = moment.step() + SECONDS_BETWEEN_EVICTIONS;
			});
	}

}
