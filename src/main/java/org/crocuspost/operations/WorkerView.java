package org.crocuspost.operations;

import org.crocuspost.platform.worker.Resources;

/**
 * A worker.
 *
 * @param name the name
 * @param failureDomain the failure domain
 * @param rack the rack
 * @param capacity all its resources
 * @param reserved what is taken by running tasks and set aside for services
 * @param tasks the number of running tasks
 * @param state what the scheduler thinks of it
 */
public record WorkerView(String name, String failureDomain, String rack, Resources capacity, Resources reserved,
		int tasks, String state) {
}
