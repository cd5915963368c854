package org.crocuspost.scheduler;

import org.crocuspost.platform.worker.Resources;

/**
 * Decision of a scheduling round to run a waiting task on a worker.
 *
 * @param task the task
 * @param worker the worker
 * @param resources the resources to reserve
 */
record Claim(CachedTask task, WorkerState worker, Resources resources) {
}
