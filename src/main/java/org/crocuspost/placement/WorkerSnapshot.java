package org.crocuspost.placement;

import java.util.HashMap;
import java.util.Map;

import org.crocuspost.platform.worker.Resources;

/**
 * State of a worker on which placement decisions are based.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param domain the failure domain of the worker
 * @param capacity all resources of the worker
 * @param free the resources that are not reserved
 * @param servicePressure the tail latency of the service on the worker divided by its
 * objective, in thousandths
 * @param tasksByJob the number of tasks on the worker by job
 */
public record WorkerSnapshot(String worker, String rack, String domain, Resources capacity, Resources free,
		int servicePressure, Map<String, Integer> tasksByJob) {

	/**
	 * Returns the state of the worker after the placement of a task on it.
	 * @param job the job of the task
	 * @param resources the resources that are reserved for the task
	 * @return the state with these resources no longer free
	 */
	public WorkerSnapshot withTask(String job, Resources resources) {
		Map<String, Integer> tasks = new HashMap<>(this.tasksByJob);
		tasks.merge(job, 1, Integer::sum);
		return new WorkerSnapshot(this.worker, this.rack, this.domain, this.capacity, this.free.minus(resources),
				this.servicePressure, tasks);
	}

}
