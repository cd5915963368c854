package org.crocuspost.job;

import java.time.Duration;
import java.util.Objects;

/**
 * Queue to which callers submit jobs.
 *
 * @param name the name of the queue
 * @param host the host name by which requests select the queue
 * @param pathPrefix the start of the paths by which requests select the queue
 * @param service the service whose workers run the tasks
 * @param priority the priority; 0 is scheduled first and may preempt others
 * @param attempts the number of failed runs of a task after which the job fails
 * @param stretch the completion objective for a job, as a multiple of the run time of its
 * longest chain of steps
 * @param targetLatency the time that the objective allows in addition
 * @param advised whether an external adviser decides which workers may run a step
 */
public record Queue(String name, String host, String pathPrefix, String service, int priority, int attempts,
		double stretch, Duration targetLatency, boolean advised) {

	public Queue {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(targetLatency, "targetLatency");
		if (attempts < 1) {
			throw new IllegalArgumentException("queue " + name + " must allow at least one attempt");
		}
	}

}
