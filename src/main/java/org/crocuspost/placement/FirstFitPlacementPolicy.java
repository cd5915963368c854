package org.crocuspost.placement;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Chooses the first worker with enough free resources. Serves as a baseline in
 * benchmarks.
 */
public final class FirstFitPlacementPolicy implements PlacementPolicy {

	@Override
	public OptionalInt choose(PlacementRequest request, List<WorkerSnapshot> workers) {
		return IntStream.range(0, workers.size())
			.filter((index) -> request.resources().fitsInto(workers.get(index).free()))
			.findFirst();
	}

}
