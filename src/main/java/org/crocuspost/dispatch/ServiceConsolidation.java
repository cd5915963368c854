package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.job.StepSpecification;
import org.jspecify.annotations.Nullable;

/**
 * Moves services together while fillers wait, so that workers become free for fillers.
 *
 * <p>
 * The load pattern is a fleet on which services come and go, workers crash and failure
 * domains go out of service. A service is placed where there is room at that moment and
 * stays there. Example: eleven workers, of which two run no service. A service with seven
 * tasks arrives, at most two on a worker, and its last task takes the last worker without
 * services. Fillers that press hard on services have no worker any more, although three
 * workers could be freed a minute later, when other services have ended. Placing services
 * with more care cannot avoid this, since their end is not known in advance.
 *
 * <p>
 * An attempt frees the workers whose services reserve the smallest share of them, and
 * prefers failure domains with few free workers. All tasks of an attempt are tried out
 * together on the room that is left, and no attempt begins while tasks of an earlier one
 * still have to stop.
 */
final class ServiceConsolidation {

	/**
	 * Weight of the share of the free workers that are in the worker's failure domain,
	 * against the share of the worker that its services reserve. If all free workers were
	 * in one domain, fillers that press hard on services would have none while it is out
	 * of service.
	 */
	private static final double DOMAIN_BALANCE_WEIGHT = 0.25;

	private final PlacementPolicy policy;

	private final DispatchListener listener;

	private final Map<String, Long> waitingMilliCores = new HashMap<>();

	private final Map<String, Long> waitingSinceNanos = new HashMap<>();

	private final Map<String, Long> nextAttemptNanos = new HashMap<>();

	private final Map<String, Integer> wantedMore = new HashMap<>();

	ServiceConsolidation(PlacementPolicy policy, DispatchListener listener) {
		this.policy = policy;
		this.listener = listener;
	}

	/**
	 * Records that this scheduling pass found no worker for fillers.
	 * @param service the service whose workers the fillers may use
	 * @param step the step of the fillers
	 * @param tasks the number of tasks of the step that wait
	 */
	void noticeWaitingFillers(String service, StepSpecification step, int tasks) {
		this.waitingMilliCores.merge(service, (long) tasks * step.milliCores(), Long::sum);
	}

	/**
	 * Ends a scheduling pass: requests moves if fillers have waited for some time and
	 * workers can be freed.
	 * @param service the service
	 * @param candidates the hosts whose workers accept tasks of the service, with what
	 * the pass has left of their resources
	 * @param nowNanos the current time
	 */
	void consolidate(String service, Collection<CandidateHost> candidates, long nowNanos) {
		Long waiting = this.waitingMilliCores.remove(service);
		if (waiting == null) {
			this.waitingSinceNanos.remove(service);
			this.wantedMore.remove(service);
			return;
		}
		long waitingSince = this.waitingSinceNanos.computeIfAbsent(service, (name) -> nowNanos);
		int wanted = wantedMore(waiting, candidates);
		this.wantedMore.put(service, wanted);
		if (nowNanos - waitingSince < DispatchSettings.WAIT_BEFORE_CONSOLIDATION.toNanos()
				|| nowNanos < this.nextAttemptNanos.getOrDefault(service, nowNanos)
				|| candidates.stream().anyMatch((candidate) -> isBeingVacated(candidate.host(), nowNanos))) {
			return;
		}
		this.nextAttemptNanos.put(service, nowNanos + DispatchSettings.CONSOLIDATION_INTERVAL.toNanos());
		Attempt attempt = new Attempt(candidates, nowNanos);
		List<ServingHost> selected = attempt.select(wanted);
		Duration waited = Duration.ofNanos(nowNanos - waitingSince);
		this.listener.consolidationAttempted(attempt.result(service, waiting, waited, wanted, selected));
		for (ServingHost host : selected) {
			host.candidate().host().vacate(host.services(), nowNanos);
			this.listener.hostChanged(host.candidate().host().name(), "vacated",
					host.services().size() + " services are moved, fillers that need " + waiting
							+ " millicores have waited for " + waited.toMillis() + " ms");
		}
	}

	/**
	 * Returns how many free workers the fillers would fill that found no worker in the
	 * last scheduling pass.
	 * @return the number of workers of all services, in addition to those that are free
	 */
	int wantedMore() {
		return this.wantedMore.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns how many more free workers are wanted. Work for less than half a worker
	 * waits for its turn on the free workers, if there are any.
	 * @param waitingMilliCores the capacity that the waiting fillers need
	 * @param candidates the hosts
	 * @return the number of workers
	 */
	private static int wantedMore(long waitingMilliCores, Collection<CandidateHost> candidates) {
		double capacity = candidates.stream().mapToInt(CandidateHost::capacityMilliCores).average().orElse(1);
		boolean anyFree = candidates.stream().anyMatch((candidate) -> !candidate.host().runsService());
		int wanted = (int) Math.min(candidates.size(), Math.round(waitingMilliCores / capacity));
		return (wanted == 0 && !anyFree) ? 1 : wanted;
	}

	private static boolean isBeingVacated(HostState host, long nowNanos) {
		return host.isVacated(nowNanos) && host.services().stream().anyMatch(Placement::moveRequested);
	}

	// A step with a limit of unavailable tasks is not moved: a crash elsewhere during the
	// move could make one task more unavailable than the limit allows.
	private static boolean movable(Placement placement, long nowNanos) {
		StepSpecification step = placement.task().step();
		return placement.current() && placement.phase() == Placement.Phase.REPORTED && !step.gang()
				&& step.unavailableLimit() < 0 && !Suspicion.suspected(placement.task())
				&& placement.age(nowNanos).compareTo(DispatchSettings.MINIMUM_TIME_BETWEEN_MOVES) >= 0;
	}

	/**
	 * Selection of the workers that one attempt frees.
	 */
	private final class Attempt {

		private final long nowNanos;

		private final Map<String, Integer> freeByDomain = new HashMap<>();

		private int free;

		private List<ServingHost> serving = new ArrayList<>();

		private final Set<HostState> rejected = new HashSet<>();

		private Attempt(Collection<CandidateHost> candidates, long nowNanos) {
			this.nowNanos = nowNanos;
			for (CandidateHost candidate : candidates) {
				List<Placement> services = candidate.host().services();
				if (services.isEmpty()) {
					countFree(candidate.host());
				}
				else if (!candidate.hasSuspects() && !candidate.isVacated()) {
					this.serving.add(new ServingHost(candidate.copy(), services));
				}
			}
		}

		private void countFree(HostState host) {
			this.freeByDomain.merge(host.worker().getFailureDomain(), 1, Integer::sum);
			this.free++;
		}

		private ConsolidationAttempt result(String service, long waiting, Duration waited, int wanted,
				List<ServingHost> selected) {
			int fixed = (int) this.serving.stream().filter((host) -> !movable(host)).count();
			return new ConsolidationAttempt(service, waiting, waited, wanted, selected.size(),
					selected.stream().mapToInt((host) -> host.services().size()).sum(), this.rejected.size(), fixed,
					this.serving.size() - fixed - this.rejected.size());
		}

		private List<ServingHost> select(int wanted) {
			List<ServingHost> selected = new ArrayList<>();
			int moves = DispatchSettings.MAXIMUM_MOVED_TASKS;
			while (selected.size() < wanted && this.rejected.size() < DispatchSettings.MAXIMUM_CONSOLIDATION_TRIALS) {
				ServingHost host = cheapest(moves);
				if (host == null) {
					break;
				}
				List<ServingHost> others = fitElsewhere(host);
				if (others == null) {
					this.rejected.add(host.candidate().host());
					continue;
				}
				this.serving = others;
				countFree(host.candidate().host());
				selected.add(host);
				moves -= host.services().size();
			}
			return selected;
		}

		private boolean movable(ServingHost host) {
			return host.services()
				.stream()
				.allMatch((placement) -> ServiceConsolidation.movable(placement, this.nowNanos));
		}

		private @Nullable ServingHost cheapest(int moves) {
			return this.serving.stream()
				.filter((host) -> !this.rejected.contains(host.candidate().host()) && host.services().size() <= moves
						&& movable(host))
				.min(Comparator.comparingDouble(this::cost))
				.orElse(null);
		}

		private double cost(ServingHost host) {
			String domain = host.candidate().host().worker().getFailureDomain();
			double moved = host.services()
				.stream()
				.mapToInt((placement) -> placement.task().step().reservedMilliCores())
				.sum();
			return moved / host.candidate().capacityMilliCores()
					+ DOMAIN_BALANCE_WEIGHT * this.freeByDomain.getOrDefault(domain, 0) / Math.max(1, this.free);
		}

		private @Nullable List<ServingHost> fitElsewhere(ServingHost vacated) {
			List<ServingHost> others = new ArrayList<>();
			for (ServingHost host : this.serving) {
				if (host != vacated) {
					others.add(new ServingHost(host.candidate().copy(), host.services()));
				}
			}
			List<CandidateHost> targets = others.stream().map(ServingHost::candidate).toList();
			List<Placement> largestFirst = vacated.services()
				.stream()
				.sorted(Comparator.comparingInt((placement) -> -placement.task().step().reservedMilliCores()))
				.toList();
			for (Placement placement : largestFirst) {
				CandidateHost target = ServiceConsolidation.this.policy.choose(placement.task(), targets);
				if (target == null) {
					return null;
				}
				target.reserveForTrial(placement.task());
			}
			return others;
		}

	}

	/**
	 * A host whose worker runs services.
	 *
	 * @param candidate the host, with the room that is left in the attempt
	 * @param services the runs of services on its worker
	 */
	private record ServingHost(CandidateHost candidate, List<Placement> services) {
	}

}
