package org.crocuspost.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;

import io.vavr.control.Option;
import org.crocuspost.peer.Peer;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Stopwatch;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.worker.WireResources;

/**
 * Newest report of a worker.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param domain the failure domain of the worker
 * @param peer the connection to its agent
 * @param sequence the sequence of the report
 * @param capacity all resources of the worker
 * @param serviceReserve the resources that are set aside for services
 * @param servicePressure the latency of the service relative to its objective, in
 * thousandths
 * @param domainOut whether the agent refuses starts because its domain is out
 * @param epoch the highest epoch that the agent has acknowledged
 * @param attempts the attempts
 * @param received when the report was received
 */
record WorkerState(String worker, String rack, String domain, Peer peer, long sequence, Resources capacity,
		Resources serviceReserve, int servicePressure, boolean domainOut, long epoch,
		Map<AttemptKey, AttemptReport> attempts, Stopwatch received) {

	static WorkerState of(Peer peer, WorkerReport report, Stopwatch received) {
		Map<AttemptKey, AttemptReport> attempts = new LinkedHashMap<>();
		report.getAttemptsList().forEach((attempt) -> attempts.put(key(attempt), attempt));
		return new WorkerState(report.getWorker(), report.getRack(), peer.identity().failureDomain(), peer,
				report.getSequence(), WireResources.fromWire(report.getCapacity()),
				WireResources.fromWire(report.getReserved()), report.getServicePressure(), report.getDomainOut(),
				report.getEpoch(), attempts, received);
	}

	static AttemptKey key(AttemptReport attempt) {
		return new AttemptKey(attempt.getTaskId(), attempt.getAttempt());
	}

	Option<AttemptReport> attempt(AttemptKey key) {
		return Option.of(this.attempts.get(key));
	}

	WorkerState with(AttemptReport attempt) {
		Map<AttemptKey, AttemptReport> changed = new LinkedHashMap<>(this.attempts);
		changed.put(key(attempt), attempt);
		return new WorkerState(this.worker, this.rack, this.domain, this.peer, this.sequence, this.capacity,
				this.serviceReserve, this.servicePressure, this.domainOut, this.epoch, changed, this.received);
	}

}
