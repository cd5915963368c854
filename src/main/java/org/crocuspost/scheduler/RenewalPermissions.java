package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.crocuspost.shard.ShardLease;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Tracks the permissions to renew task leases that this scheduler has granted to agents,
 * and derives from them when the tasks of an unresponsive worker have certainly stopped.
 *
 * <p>
 * While the lease of a failure domain is valid, an agent is granted a permission of the
 * short normal duration, so that the tasks of a lost worker can soon run elsewhere. While
 * the store is down, the lease cannot be renewed and no other scheduler can take over, so
 * agents are granted the rest of the long outage duration, counted from the last renewal.
 * A scheduler that takes over has no record of the permissions of its predecessor, so it
 * waits the long outage duration for each worker that has not acknowledged its epoch; an
 * agent that acknowledges an epoch has dropped all earlier permissions, and its next
 * incarnation takes none from a scheduler that may have been replaced.
 */
final class RenewalPermissions {

	private final SchedulingSettings.Permission settings;

	private final Clock clock;

	private final Map<String, LeaseTerm> leaseTerms = new ConcurrentHashMap<>();

	private final Map<WorkerKey, Permission> permissions = new ConcurrentHashMap<>();

	RenewalPermissions(SchedulingSettings.Permission settings, Clock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	/**
	 * Records that this process holds a lease. A new epoch discards the permissions of
	 * the domain.
	 * @param domain the failure domain
	 * @param epoch the epoch of the lease
	 * @return true if the epoch was not recorded before
	 */
	boolean beginTerm(String domain, long epoch) {
		LeaseTerm currentTerm = this.leaseTerms.get(domain);
		if (currentTerm != null && currentTerm.epoch() == epoch) {
			return false;
		}
		this.leaseTerms.put(domain, new LeaseTerm(epoch, Stopwatch.start(this.clock)));
		this.permissions.keySet().removeIf((key) -> key.domain().equals(domain));
		return true;
	}

	/**
	 * Grants an agent permission to renew its task leases.
	 * @param lease the lease of the agent's failure domain
	 * @param worker the worker
	 * @return how long the agent may renew, counted from when it sent its report; zero if
	 * no permission can be granted
	 */
	Duration grant(ShardLease lease, String worker) {
		Option<Duration> sinceRenewal = lease.timeSinceRenewal();
		if (sinceRenewal.isEmpty()) {
			return Duration.ZERO;
		}
		Duration remainingOutage = this.settings.outageDuration().minus(sinceRenewal.get());
		if (remainingOutage.isNegative()) {
			return Duration.ZERO;
		}
		boolean leaseValid = lease.token().isDefined();
		Duration length = (leaseValid && this.settings.normalDuration().compareTo(remainingOutage) < 0)
				? this.settings.normalDuration() : remainingOutage;
		Permission permission = new Permission(Stopwatch.start(this.clock), length);
		this.permissions.merge(new WorkerKey(lease.record().domain(), worker), permission, Permission::laterEnding);
		return length;
	}

	/**
	 * Returns whether every task of an unresponsive worker has stopped.
	 * @param domain the failure domain whose lease this process holds
	 * @param epoch the epoch of the lease
	 * @param worker the worker
	 * @param acknowledgedEpoch the epoch that the agent has acknowledged; 0 if it has not
	 * reported
	 * @return true if all permissions have ended and the task leases have lapsed since
	 * then
	 */
	boolean haveLeasesLapsed(String domain, long epoch, String worker, long acknowledgedEpoch) {
		LeaseTerm term = this.leaseTerms.get(domain);
		if (term == null || term.epoch() != epoch) {
			return false;
		}
		Permission permission = this.permissions.get(new WorkerKey(domain, worker));
		if (permission != null && !permission.hasEnded(this.settings.stopMargin())) {
			return false;
		}
		if (permission != null && acknowledgedEpoch == epoch) {
			return true;
		}
		return new Permission(term.start(), this.settings.outageDuration()).hasEnded(this.settings.stopMargin());
	}

	private record LeaseTerm(long epoch, Stopwatch start) {
	}

	private record WorkerKey(String domain, String worker) {
	}

	private record Permission(Stopwatch start, Duration length) {

		Permission laterEnding(Permission other) {
			return (other.remaining().compareTo(remaining()) > 0) ? other : this;
		}

		boolean hasEnded(Duration margin) {
			return remaining().plus(margin).isNegative();
		}

		private Duration remaining() {
			return this.length.minus(this.start.observerElapsed());
		}

	}

}
