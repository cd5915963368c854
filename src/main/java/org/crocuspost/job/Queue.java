package org.crocuspost.job;

import java.time.Duration;
import java.util.Objects;

/**
 * A queue that callers hand jobs to.
 *
 * @param name the name
 * @param host the host name by which callers select it
 * @param pathPrefix the path by which callers select it
 * @param service the service whose workers run the tasks
 * @param priority 0 goes first and may preempt others
 * @param attempts how many runs of a task may fail
 * @param stretch objective for a job as a multiple of its longest chain of work
 * @param targetLatency what the objective allows on top
 * @param advised whether an adviser decides which workers may run a step
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
			throw new IllegalArgumentException("queue " + name + " must allow an attempt");
		}
	}

}
