package org.crocuspost.placement;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;

/**
 * Request for a worker on which to start a task.
 *
 * @param job the job of the task
 * @param resources the resources to reserve for the task
 */
public record PlacementRequest(JobSpecification job, Resources resources) {
}
