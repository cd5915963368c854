package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.crocuspost.peer.Peer;
import org.crocuspost.shard.ShardLease;
import org.crocuspost.wire.AttemptIdentity;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;

/**
 * Answers the reports of agents from memory, so that agents are also answered while the
 * store is down. The cached rows of a failure domain are exact if they certainly equal
 * the rows in the table. A new epoch of the lease and a transaction of unknown outcome
 * make them inexact until they are read again.
 */
final class ReportResponder {

	private final ShardLeases leases;

	private final TaskTable tasks;

	private final RenewalPermissions permissions;

	private final Map<String, Long> exactEpochs = new ConcurrentHashMap<>();

	ReportResponder(ShardLeases leases, TaskTable tasks, RenewalPermissions permissions) {
		this.leases = leases;
		this.tasks = tasks;
		this.permissions = permissions;
	}

	/**
	 * Marks the cached rows of a failure domain as exact.
	 * @param domain the failure domain
	 * @param epoch the epoch of the lease under which they are exact
	 */
	void markExact(String domain, long epoch) {
		this.exactEpochs.put(domain, epoch);
	}

	void markInexact(String domain) {
		this.exactEpochs.remove(domain);
	}

	boolean isExact(String domain, long epoch) {
		return this.exactEpochs.getOrDefault(domain, 0L) == epoch;
	}

	Set<String> exactDomains() {
		return Set.copyOf(this.exactEpochs.keySet());
	}

	WorkerReportReply answer(Peer peer, WorkerReport report) {
		WorkerReportReply.Builder reply = WorkerReportReply.newBuilder().setSequence(report.getSequence());
		Option<ShardLease> lease = this.leases.find(peer.identity().failureDomain());
		if (lease.isEmpty()) {
			return reply.build();
		}
		Duration permission = this.permissions.grant(lease.get(), report.getWorker());
		if (permission.isZero()) {
			return reply.build();
		}
		long epoch = lease.get().record().epoch();
		reply.setEpoch(epoch)
			.setRenewalBudgetMilliseconds(permission.toMillis())
			.setLeaseUnconfirmed(lease.get().token().isEmpty());
		boolean exact = isExact(peer.identity().failureDomain(), epoch);
		report.getAttemptsList()
			.stream()
			.filter((attempt) -> isRecorded(attempt, exact))
			.forEach((attempt) -> reply.addRecorded(identity(attempt)));
		return reply.build();
	}

	private boolean isRecorded(AttemptReport attempt, boolean exact) {
		if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING) {
			return false;
		}
		Option<CachedTask> row = this.tasks.find(attempt.getTaskId());
		if (row.isEmpty()) {
			return exact;
		}
		boolean assigned = row.get().record().status().mayRun() && row.get().record().attempt() == attempt.getAttempt();
		return !assigned && (exact || row.get().record().attempt() >= attempt.getAttempt());
	}

	private static AttemptIdentity identity(AttemptReport attempt) {
		return AttemptIdentity.newBuilder().setTaskId(attempt.getTaskId()).setAttempt(attempt.getAttempt()).build();
	}

}
