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
 * Holds the newest report of a worker.
 *
 * @param worker the name of the worker
 * @param rack the rack of the worker
 * @param domain the failure domain of the worker
 * @param peer the connection to its agent
 * @param sequence the sequence number of the report
 * @param capacity the total resources of the worker
 * @param serviceReserve the resources that are reserved for services
 * @param servicePressure the latency of the service relative to its objective, in
 * thousandths
 * @param domainOut whether the agent refuses starts because its failure domain is out of
 * service
 * @param acknowledgedEpoch the highest epoch that the agent has acknowledged
 * @param attempts the reported attempts
 * @param sinceReceived the time since the report was received
 */
record WorkerState(String worker, String rack, String domain, Peer peer, long sequence, Resources capacity,
		Resources serviceReserve, int servicePressure, boolean domainOut, long acknowledgedEpoch,
		Map<AttemptKey, AttemptReport> attempts, Stopwatch sinceReceived) {

	static WorkerState of(Peer peer, WorkerReport report, Stopwatch received) {
		Map<AttemptKey, AttemptReport> attempts = new LinkedHashMap<>();
		report.getAttemptsList().forEach((attempt) -> attempts.put(attemptKey(attempt), attempt));
		return new WorkerState(report.getWorker(), report.getRack(), peer.identity().failureDomain(), peer,
				report.getSequence(), WireResources.fromWire(report.getCapacity()),
				WireResources.fromWire(report.getReserved()), report.getServicePressure(), report.getDomainOut(),
				report.getEpoch(), attempts, received);
	}

	static AttemptKey attemptKey(AttemptReport attempt) {
		return new AttemptKey(attempt.getTaskId(), attempt.getAttempt());
	}

	Option<AttemptReport> attempt(AttemptKey key) {
		return Option.of(this.attempts.get(key));
	}

	WorkerState withAttempt(AttemptReport attempt) {
		Map<AttemptKey, AttemptReport> updated = new LinkedHashMap<>(this.attempts);
		updated.put(attemptKey(attempt), attempt);
		return new WorkerState(this.worker, this.rack, this.domain, this.peer, this.sequence, this.capacity,
				this.serviceReserve, this.servicePressure, this.domainOut, this.acknowledgedEpoch, updated,
				this.sinceReceived);
	}

}
