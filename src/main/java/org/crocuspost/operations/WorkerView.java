package org.crocuspost.operations;

import org.crocuspost.platform.worker.Resources;

/**
 * A worker.
 *
 * @param name the name
 * @param failureDomain the failure domain
 * @param rack the rack
 * @param capacity the total resources of the worker
 * @param reserved the resources that running tasks occupy and those reserved for services
 * @param tasks the number of running tasks
 * @param state the state that the scheduler has determined
 */
public record WorkerView(String name, String failureDomain, String rack, Resources capacity, Resources reserved,
		int tasks, String state) {
}
