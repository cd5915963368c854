package org.crocuspost.host;

import java.util.List;
import java.util.Objects;

import org.crocuspost.wire.WorkerDescription;

/**
 * Announcement by which a worker describes itself to the agent.
 *
 * @param id identity of the worker
 * @param born start time of this incarnation of the worker, Unix time in milliseconds
 * @param service the service that the worker belongs to
 * @param failureDomain the failure domain
 * @param draining whether the worker is about to depart
 * @param remainingMillis minimum time until it departs, in milliseconds
 * @param coldMillis remaining time for which the worker is slow after its start, in
 * milliseconds
 * @param milliCores processor capacity, in thousandths of a core
 * @param memoryMegabytes memory capacity, in megabytes
 * @param accelerators number of accelerators
 * @param labels the kind of the worker and its rack
 * @param sequence sequence number; rises with each announcement of an incarnation
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
	 * Returns whether another announcement comes from the same incarnation of the same
	 * worker.
	 * @param other the other announcement
	 * @return true if it comes from the same incarnation
	 */
	public boolean sameIncarnation(WorkerAnnouncement other) {
		return this.id.equals(other.id) && this.born == other.born;
	}

	/**
	 * Returns whether another announcement states the same capacity.
	 * @param other the other announcement
	 * @return true if no resource differs
	 */
	boolean sameCapacity(WorkerAnnouncement other) {
		return this.milliCores == other.milliCores && this.memoryMegabytes == other.memoryMegabytes
				&& this.accelerators == other.accelerators;
	}

	/**
	 * Returns what the leader must know of the worker.
	 * @param left whether the worker has ended for good
	 * @return the description
	 */
	WorkerDescription describe(boolean left) {
		return WorkerDescription.newBuilder()
			.setId(this.id)
			.setBorn(this.born)
			.setService(this.service)
			.setFailureDomain(this.failureDomain)
			.setDraining(this.draining)
			.setRemainingMillis(this.remainingMillis)
			.setColdMillis(this.coldMillis)
			.setMilliCores(this.milliCores)
			.setMemoryMegabytes(this.memoryMegabytes)
			.setAccelerators(this.accelerators)
			.addAllLabels(this.labels)
			.setLeft(left)
			.build();
	}

}
