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
 * Answers the reports of agents from memory, also while the store is down.
 */
final class ReportAnswers {

	private final ShardLeases leases;

	private final TaskTable tasks;

	private final RenewalPermissions permissions;

	private final Map<String, Long> exactEpochs = new ConcurrentHashMap<>();

	ReportAnswers(ShardLeases leases, TaskTable tasks, RenewalPermissions permissions) {
		this.leases = leases;
		this.tasks = tasks;
		this.permissions = permissions;
	}

	/**
	 * Notes whether the copy of the rows of a failure domain is exact.
	 * @param domain the failure domain
	 * @param epoch the epoch for which it is exact
	 */
	void exact(String domain, long epoch) {
		this.exactEpochs.put(domain, epoch);
	}

	void inexact(String domain) {
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
		Duration permission = this.permissions.give(lease.get(), report.getWorker());
		if (permission.isZero()) {
			return reply.build();
		}
		long epoch = lease.get().record().epoch();
		reply.setEpoch(epoch).setRenewalBudgetMilliseconds(permission.toMillis());
		boolean exact = isExact(peer.identity().failureDomain(), epoch);
		report.getAttemptsList()
			.stream()
			.filter((attempt) -> recorded(attempt, exact))
			.forEach((attempt) -> reply.addRecorded(identity(attempt)));
		return reply.build();
	}

	private boolean recorded(AttemptReport attempt, boolean exact) {
		if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING) {
			return false;
		}
		Option<CachedTask> row = this.tasks.find(attempt.getTaskId());
		if (row.isEmpty()) {
			return exact;
		}
		boolean open = row.get().record().status().mayRun() && row.get().record().attempt() == attempt.getAttempt();
		return !open && (exact || row.get().record().attempt() >= attempt.getAttempt());
	}

	private static AttemptIdentity identity(AttemptReport attempt) {
		return AttemptIdentity.newBuilder().setTaskId(attempt.getTaskId()).setAttempt(attempt.getAttempt()).build();
	}

}
