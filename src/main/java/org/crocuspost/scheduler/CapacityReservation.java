package org.crocuspost.scheduler;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Stopwatch;

/**
 * Capacity on a worker that is reserved for an urgent task while evictions free it.
 *
 * @param worker the worker
 * @param resources the reserved resources
 * @param sinceReserved the time since the evictions were decided
 */
record CapacityReservation(String worker, Resources resources, Stopwatch sinceReserved) {
}
