package org.crocuspost.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.platform.worker.Resources;

/**
 * Takes the worker with the lowest cost among those with room, in one pass over the
 * workers. The cost is a sum of these parts, the largest weight first:
 *
 * <ul>
 * <li>an accelerator that the task would block without using it,</li>
 * <li>the share of the job's tasks that run on the same rack, if the job is to be
 * spread,</li>
 * <li>the expected harm to the service on the worker,</li>
 * <li>the imbalance between processor and memory that the task would leave behind, since
 * memory without processors cannot be used,</li>
 * <li>the processor share in use, so that load is even and services keep headroom.</li>
 * </ul>
 *
 * <p>
 * First fit is cheaper, but it fills the first workers of the list until their services
 * suffer while others idle, and strands memory.
 */
public final class DefaultPlacementPolicy implements PlacementPolicy {

	private static final double ACCELERATOR_WEIGHT = 8;

	private static final double SPREAD_WEIGHT = 4;

	private static final double PENALTY_WEIGHT = 2;

	private static final double IMBALANCE_WEIGHT = 1;

	private static final double LOAD_WEIGHT = 0.5;

	private static final double PRESSURE_UNIT = 1000;

	private final PairPenalty penalty;

	/**
	 * Creates the policy.
	 * @param penalty the expected harm of a job on a worker
	 */
	public DefaultPlacementPolicy(PairPenalty penalty) {
		this.penalty = penalty;
	}

	@Override
	public OptionalInt choose(PlacementRequest request, List<WorkerSnapshot> workers) {
		Map<String, Integer> tasksByRack = tasksByRack(request, workers);
		int best = -1;
		double bestCost = Double.POSITIVE_INFINITY;
		for (int index = 0; index < workers.size(); index++) {
			WorkerSnapshot worker = workers.get(index);
			if (!request.resources().fitsInto(worker.free())) {
				continue;
			}
			double cost = cost(request, worker, tasksByRack);
			if (cost < bestCost) {
				best = index;
				bestCost = cost;
			}
		}
		return (best < 0) ? OptionalInt.empty() : OptionalInt.of(best);
	}

	private double cost(PlacementRequest request, WorkerSnapshot worker, Map<String, Integer> tasksByRack) {
		Resources left = worker.free().minus(request.resources());
		double processorLeft = share(left.milliCores(), worker.capacity().milliCores());
		double memoryLeft = share(left.memoryMebibytes(), worker.capacity().memoryMebibytes());
		boolean blocksAccelerator = worker.capacity().accelerators() > 0 && request.resources().accelerators() == 0;
		double pressure = worker.servicePressure() / PRESSURE_UNIT;
		double cost = LOAD_WEIGHT * (1 - processorLeft);
		cost += IMBALANCE_WEIGHT * Math.abs(processorLeft - memoryLeft);
		cost += PENALTY_WEIGHT * (pressure + this.penalty.cost(request.job().name(), worker));
		cost += SPREAD_WEIGHT * share(tasksByRack.getOrDefault(worker.rack(), 0), request.job().count());
		cost += blocksAccelerator ? ACCELERATOR_WEIGHT : 0;
		return cost;
	}

	private static Map<String, Integer> tasksByRack(PlacementRequest request, List<WorkerSnapshot> workers) {
		if (request.job().spread() == Spread.NONE) {
			return Map.of();
		}
		Map<String, Integer> counts = new HashMap<>();
		for (WorkerSnapshot worker : workers) {
			counts.merge(worker.rack(), worker.tasksByJob().getOrDefault(request.job().name(), 0), Integer::sum);
		}
		return counts;
	}

	private static double share(long part, long whole) {
		return (whole == 0) ? 0 : (double) part / whole;
	}

}
