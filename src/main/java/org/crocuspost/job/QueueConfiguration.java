package org.crocuspost.job;

import java.util.List;
import java.util.Optional;

/**
 * The queues in force.
 *
 * @param version rises with each change
 * @param queues the queues
 * @param guardedServices services whose workers refuse what does not fit
 * @param maximumBodyBytes the largest body of a request
 */
public record QueueConfiguration(long version, List<Queue> queues, List<String> guardedServices, int maximumBodyBytes) {

	public QueueConfiguration {
		queues = List.copyOf(queues);
		guardedServices = List.copyOf(guardedServices);
	}

	/**
	 * Finds the queue that a request selects: the longest prefix wins.
	 * @param host the host name without a port
	 * @param path the path
	 * @return the queue, or empty if none matches
	 */
	public Optional<Queue> select(String host, String path) {
		Queue best = null;
		for (Queue queue : this.queues) {
			if (queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix())
					&& (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
				best = queue;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Finds a queue by its name.
	 * @param name the name
	 * @return the queue, or empty if there is none
	 */
	public Optional<Queue> findByName(String name) {
		return this.queues.stream().filter((queue) -> queue.name().equals(name)).findFirst();
	}

}
