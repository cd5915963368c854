package org.crocuspost.placement;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Takes the first worker with room. Baseline for measurements.
 */
public final class FirstFitPlacementPolicy implements PlacementPolicy {

	@Override
	public OptionalInt choose(PlacementRequest request, List<WorkerSnapshot> workers) {
		return IntStream.range(0, workers.size())
			.filter((index) -> request.resources().fitsInto(workers.get(index).free()))
			.findFirst();
	}

}
