package org.crocuspost.placement;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.platform.worker.Resources;

/**
 * A worker as the placement sees it.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param domain the failure domain of the worker
 * @param capacity all resources of the worker
 * @param free the resources that are not set aside
 * @param servicePressure the latency of the service on the worker relative to its
 * objective, in thousandths
 * @param tasksByJob the number of tasks on the worker by job
 */
public record WorkerSnapshot(String worker, String rack, String domain, Resources capacity, Resources free,
		int servicePressure, Map<String, Integer> tasksByJob) {

	/**
	 * Returns the worker after a task was placed on it.
	 * @param job the job of the task
	 * @param resources the resources that the task takes
	 * @return the worker with less room
	 */
	public WorkerSnapshot withTask(String job, Resources resources) {
		Map<String, Integer> tasks = new HashMap<>(this.tasksByJob);
		tasks.merge(job, 1, Integer::sum);
		return new WorkerSnapshot(this.worker, this.rack, this.domain, this.capacity, this.free.minus(resources),
				this.servicePressure, tasks);
	}

}
