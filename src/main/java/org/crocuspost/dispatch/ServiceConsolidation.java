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

/**
 * Moves services together while fillers wait, so that a worker becomes free for fillers.
 *
 * <p>
 * The load pattern is a fleet on which services come and go, workers crash and failure
 * domains go out of service. A service is placed where there is room at that moment and
 * stays there. Example: eleven workers, of which two run no service. A service with seven
 * tasks arrives, at most two on a worker, and its last task takes the last worker without
 * services. Fillers that press hard on services have no worker any more, although three
 * workers could be freed a minute later, when other services have ended. Placing services
 * with more care cannot avoid this, since their end is not known in advance.
 */
final class ServiceConsolidation {

	private final PlacementPolicy policy;

	private final DispatchListener listener;

	private final Set<String> servicesWithWaitingFillers = new HashSet<>();

	private final Map<String, Long> waitingSinceNanos = new HashMap<>();

	private final Map<String, Long> nextAttemptNanos = new HashMap<>();

	ServiceConsolidation(PlacementPolicy policy, DispatchListener listener) {
		this.policy = policy;
		this.listener = listener;
	}

	/**
	 * Records that this scheduling pass found no worker for a filler.
	 * @param service the service whose workers the filler may use
	 */
	void noticeWaitingFiller(String service) {
		this.servicesWithWaitingFillers.add(service);
	}

	/**
	 * Ends a scheduling pass: requests moves if fillers have waited for some time and a
	 * worker can be freed.
	 * @param service the service
	 * @param candidates the hosts whose workers accept tasks of the service, with what
	 * the pass has left of their resources
	 * @param nowNanos the current time
	 */
	void consolidate(String service, Collection<CandidateHost> candidates, long nowNanos) {
		if (!this.servicesWithWaitingFillers.remove(service)) {
			this.waitingSinceNanos.remove(service);
			return;
		}
		long waitingSince = this.waitingSinceNanos.computeIfAbsent(service, (name) -> nowNanos);
		if (nowNanos - waitingSince < DispatchSettings.WAIT_BEFORE_CONSOLIDATION.toNanos()
				|| nowNanos < this.nextAttemptNanos.getOrDefault(service, nowNanos)) {
			return;
		}
		this.nextAttemptNanos.put(service, nowNanos + DispatchSettings.CONSOLIDATION_INTERVAL.toNanos());
		List<ServingHost> serving = new ArrayList<>();
		for (CandidateHost candidate : candidates) {
			List<Placement> services = candidate.host().services();
			if (!services.isEmpty() && !candidate.hasSuspects()) {
				serving.add(new ServingHost(candidate, services));
			}
		}
		serving.sort(Comparator.comparingInt((host) -> host.services().size()));
		List<ServingHost> vacatable = serving.stream()
			.filter((host) -> hasFewMovableServices(host, nowNanos))
			.limit(DispatchSettings.MAXIMUM_CONSOLIDATION_TRIALS)
			.toList();
		for (ServingHost host : vacatable) {
			if (fitElsewhere(host, serving)) {
				host.candidate().host().vacate(host.services(), nowNanos);
				this.listener.hostChanged(host.candidate().host().name(), "vacated",
						host.services().size() + " services are moved, fillers have waited for "
								+ Duration.ofNanos(nowNanos - waitingSince).toMillis() + " ms");
				return;
			}
		}
	}

	private static boolean hasFewMovableServices(ServingHost host, long nowNanos) {
		return host.services().size() <= DispatchSettings.MAXIMUM_MOVED_TASKS
				&& host.services().stream().allMatch((placement) -> movable(placement, nowNanos));
	}

	private static boolean movable(Placement placement, long nowNanos) {
		StepSpecification step = placement.task().step();
		return placement.current() && placement.phase() == Placement.Phase.REPORTED && !step.gang()
				&& step.unavailableLimit() < 0 && !Suspicion.suspected(placement.task())
				&& placement.age(nowNanos).compareTo(DispatchSettings.MINIMUM_TIME_BETWEEN_MOVES) >= 0;
	}

	private boolean fitElsewhere(ServingHost vacated, List<ServingHost> serving) {
		List<CandidateHost> targets = new ArrayList<>();
		for (ServingHost host : serving) {
			if (host != vacated) {
				targets.add(host.candidate().copy());
			}
		}
		List<Placement> largestFirst = vacated.services()
			.stream()
			.sorted(Comparator.comparingInt((placement) -> -placement.task().step().milliCores()))
			.toList();
		for (Placement placement : largestFirst) {
			CandidateHost target = this.policy.choose(placement.task(), targets);
			if (target == null) {
				return false;
			}
			target.reserveForTrial(placement.task());
		}
		return true;
	}

	/**
	 * A host whose worker runs services.
	 *
	 * @param candidate the host
	 * @param services the runs of services on its worker
	 */
	private record ServingHost(CandidateHost candidate, List<Placement> services) {
	}

}
