package org.crocuspost.placement;

import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;

/**
 * A task that needs a worker.
 *
 * @param job the job of the task
 * @param resources the resources to set aside
 */
public record PlacementRequest(JobSpecification job, Resources resources) {
}
