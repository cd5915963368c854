package org.crocuspost.placement;

import java.util.List;
import java.util.OptionalInt;

/**
 * Chooses the worker for a task. Has no state of its own.
 */
@FunctionalInterface
public interface PlacementPolicy {

	/**
	 * Chooses a worker with enough room.
	 * @param request the task
	 * @param workers the workers on which the task may start
	 * @return the index of the worker in the list, or empty if none has room
	 */
	OptionalInt choose(PlacementRequest request, List<WorkerSnapshot> workers);

}
