package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Option;
import org.crocuspost.shard.ShardLease;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Permissions to renew task leases that this scheduler has given to agents, and what
 * follows from them: when the tasks of a silent worker have certainly stopped.
 *
 * <p>
 * While the lease of a failure domain is valid an agent gets a short permission, so that
 * the tasks of a lost worker can run elsewhere soon. While the store is down the lease
 * cannot be renewed and nobody can take over, so agents get the rest of the long outage
 * time counted from the last renewal. A scheduler that takes over does not know what its
 * predecessor permitted, so it waits the long time for each worker that has not
 * acknowledged its epoch; an agent that acknowledges an epoch has dropped all earlier
 * permissions.
 */
final class RenewalPermissions {

	private final SchedulingSettings.Permission settings;

	private final Clock clock;

	private final Map<String, Tenure> tenures = new ConcurrentHashMap<>();

	private final Map<Holder, Permission> permissions = new ConcurrentHashMap<>();

	RenewalPermissions(SchedulingSettings.Permission settings, Clock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	/**
	 * Notes that this process holds a lease.
	 * @param domain the failure domain
	 * @param epoch the epoch of the lease
	 * @return true if the lease is newly held
	 */
	boolean begin(String domain, long epoch) {
		Tenure known = this.tenures.get(domain);
		if (known != null && known.epoch() == epoch) {
			return false;
		}
		this.tenures.put(domain, new Tenure(epoch, Stopwatch.start(this.clock)));
		this.permissions.keySet().removeIf((holder) -> holder.domain().equals(domain));
		return true;
	}

	/**
	 * Gives an agent permission to renew.
	 * @param lease the lease of the agent's failure domain
	 * @param worker the worker
	 * @return how long the agent may renew, counted from when it sent its report
	 */
	Duration give(ShardLease lease, String worker) {
		Option<Duration> sinceRenewal = lease.timeSinceRenewal();
		if (sinceRenewal.isEmpty()) {
			return Duration.ZERO;
		}
		Duration outageRest = this.settings.outageDuration().minus(sinceRenewal.get());
		if (outageRest.isNegative()) {
			return Duration.ZERO;
		}
		boolean valid = lease.token().isDefined();
		Duration given = (valid && this.settings.normalDuration().compareTo(outageRest) < 0) ? this.settings.normalDuration()
				: outageRest;
		Permission permission = new Permission(Stopwatch.start(this.clock), given);
		this.permissions.merge(new Holder(lease.record().domain(), worker), permission, Permission::later);
		return given;
	}

	/**
	 * Says whether every task of a silent worker has stopped.
	 * @param domain the failure domain, whose lease this process holds
	 * @param epoch the epoch of the lease
	 * @param worker the worker
	 * @param acknowledgedEpoch the epoch that the agent has acknowledged; 0 if it has not
	 * reported
	 * @return true if all permissions have ended and the task leases have lapsed since
	 */
	boolean lapsed(String domain, long epoch, String worker, long acknowledgedEpoch) {
		Tenure tenure = this.tenures.get(domain);
		if (tenure == null || tenure.epoch() != epoch) {
			return false;
		}
		Permission given = this.permissions.get(new Holder(domain, worker));
		if (given != null && !given.over(this.settings.afterPermission())) {
			return false;
		}
		if (given != null && acknowledgedEpoch == epoch) {
			return true;
		}
		return new Permission(tenure.start(), this.settings.outageDuration()).over(this.settings.afterPermission());
	}

	private record Tenure(long epoch, Stopwatch start) {
	}

	private record Holder(String domain, String worker) {
	}

	private record Permission(Stopwatch start, Duration length) {

		Permission later(Permission other) {
			return (other.rest().compareTo(rest()) > 0) ? other : this;
		}

		boolean over(Duration margin) {
			return rest().plus(margin).isNegative();
		}

		private Duration rest() {
			return this.length.minus(this.start.observerElapsed());
		}

	}

}
