package org.crocuspost.placement;

import java.util.List;
import java.util.OptionalInt;

/**
 * Chooses the worker for a task. Implementations have no state of their own.
 */
@FunctionalInterface
public interface PlacementPolicy {

	/**
	 * Chooses a worker with enough free resources.
	 * @param request the task and the resources that it needs
	 * @param workers the workers on which the task may start
	 * @return the index of the worker in the list, or empty if none has enough free
	 * resources
	 */
	OptionalInt choose(PlacementRequest request, List<WorkerSnapshot> workers);

}
