package org.crocuspost.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.platform.worker.Resources;

/**
 * Chooses the worker with the lowest cost among those with enough free resources, in one
 * pass over the workers. The cost is the weighted sum of these terms, the largest weight
 * first:
 *
 * <ul>
 * <li>an accelerator that the task would block without using it,</li>
 * <li>the share of the job's tasks that run on the same rack, if the job is to be
 * spread,</li>
 * <li>the service pressure of the worker and the expected harm of the job to its
 * service,</li>
 * <li>the imbalance between free processors and free memory after the placement, since
 * memory without processors cannot be used,</li>
 * <li>the share of processors in use, so that load is even and services keep
 * headroom.</li>
 * </ul>
 *
 * <p>
 * First fit is cheaper, but it fills the first workers of the list until their services
 * slow down while other workers are idle, and it strands memory.
 */
public final class DefaultPlacementPolicy implements PlacementPolicy {

	private static final double ACCELERATOR_WEIGHT = 8;

	private static final double SPREAD_WEIGHT = 4;

	private static final double PENALTY_WEIGHT = 2;

	private static final double IMBALANCE_WEIGHT = 1;

	private static final double LOAD_WEIGHT = 0.5;

	private static final double THOUSANDTHS_PER_UNIT = 1000;

	private final PairPenalty penalty;

	/**
	 * Creates the policy.
	 * @param penalty the cost function for the expected harm of a job on a worker
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
		Resources freeAfter = worker.free().minus(request.resources());
		double freeProcessorShare = ratio(freeAfter.milliCores(), worker.capacity().milliCores());
		double freeMemoryShare = ratio(freeAfter.memoryMebibytes(), worker.capacity().memoryMebibytes());
		boolean blocksAccelerator = worker.capacity().accelerators() > 0 && request.resources().accelerators() == 0;
		double pressure = worker.servicePressure() / THOUSANDTHS_PER_UNIT;
		double cost = LOAD_WEIGHT * (1 - freeProcessorShare);
		cost += IMBALANCE_WEIGHT * Math.abs(freeProcessorShare - freeMemoryShare);
		cost += PENALTY_WEIGHT * (pressure + this.penalty.cost(request.job().name(), worker));
		cost += SPREAD_WEIGHT * ratio(tasksByRack.getOrDefault(worker.rack(), 0), request.job().count());
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

	private static double ratio(long part, long whole) {
		return (whole == 0) ? 0 : (double) part / whole;
	}

}
