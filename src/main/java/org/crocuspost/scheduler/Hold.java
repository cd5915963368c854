package org.crocuspost.scheduler;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Stopwatch;

/**
 * Room on a worker that is being freed for an urgent task.
 *
 * @param worker the worker
 * @param resources the room
 * @param start when the eviction was decided
 */
record Hold(String worker, Resources resources, Stopwatch start) {
}
