package org.crocuspost.scheduler;

import org.crocuspost.platform.worker.Resources;

/**
 * Decision to run a waiting task on a worker.
 *
 * @param task the task
 * @param worker the worker
 * @param resources the resources to set aside
 */
record Claim(CachedTask task, WorkerState worker, Resources resources) {
}
