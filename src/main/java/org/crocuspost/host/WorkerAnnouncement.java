package org.crocuspost.host;

import java.util.List;
import java.util.Objects;

/**
 * What a worker says of itself.
 *
 * @param id identity of the worker
 * @param born start of this life of the worker, Unix time in milliseconds
 * @param service the service that the worker belongs to
 * @param failureDomain the failure domain
 * @param draining whether the worker is about to leave
 * @param remainingMillis least time until it leaves, in milliseconds
 * @param coldMillis how much longer the worker is slow after its start, in milliseconds
 * @param milliCores processor, in thousandths of a core
 * @param memoryMegabytes memory
 * @param accelerators accelerators
 * @param labels the kind of the worker and its rack
 * @param sequence rises with each announcement of a life
 */
public record WorkerAnnouncement(String id, long born, String service, String failureDomain, boolean draining,
		long remainingMillis, long coldMillis, int milliCores, int memoryMegabytes, int accelerators,
		List<String> labels, long sequence) {

	public WorkerAnnouncement {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(failureDomain, "failureDomain");
		labels = List.copyOf(labels);
	}

	/**
	 * Says whether another announcement comes from the same life of the same worker.
	 * @param other the other announcement
	 * @return true if it does
	 */
	public boolean sameLife(WorkerAnnouncement other) {
		return this.id.equals(other.id) && this.born == other.born;
	}

}
