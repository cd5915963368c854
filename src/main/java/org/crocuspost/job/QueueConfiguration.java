package org.crocuspost.job;

import java.util.List;
import java.util.Optional;

/**
 * Configuration of the queues that is in force.
 *
 * @param version the version, which increases with each change
 * @param queues the queues
 * @param capacityEnforcingServices the services whose workers refuse tasks that exceed
 * their capacity
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 */
public record QueueConfiguration(long version, List<Queue> queues, List<String> capacityEnforcingServices,
		int maximumBodyBytes) {

	public QueueConfiguration {
		queues = List.copyOf(queues);
		capacityEnforcingServices = List.copyOf(capacityEnforcingServices);
	}

	/**
	 * Returns the queue that a request selects. Of several matching path prefixes, the
	 * longest one wins.
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
	 * Returns the queue with a given name.
	 * @param name the name
	 * @return the queue, or empty if there is none
	 */
	public Optional<Queue> findByName(String name) {
		return this.queues.stream().filter((queue) -> queue.name().equals(name)).findFirst();
	}

}
