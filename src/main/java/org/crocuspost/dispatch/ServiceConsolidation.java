package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
 * together on the room that is left. How many tasks move at the same time is bounded by a
 * share of all, and the room that they hold by what short tasks need.
 */
final class ServiceConsolidation {

	/**
	 * Weight of the share of the free workers that are in the worker's failure domain,
	 * against the share of the worker that its services reserve. If all free workers were
	 * in one domain, fillers that press hard on services would have none while it is out
	 * of service.
	 */
	private static final double DOMAIN_BALANCE_WEIGHT = 0.25;

	private final ServiceMoves moves;

	private final DispatchListener listener;

	private final Map<String, Long> waitingMilliCores = new HashMap<>();

	private final Map<String, Long> waitingSinceNanos = new HashMap<>();

	private final Map<String, Long> nextAttemptNanos = new HashMap<>();

	private final Map<String, Integer> wantedMore = new HashMap<>();

	ServiceConsolidation(ServiceMoves moves, DispatchListener listener) {
		this.moves = moves;
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
				|| nowNanos < this.nextAttemptNanos.getOrDefault(service, nowNanos)) {
			return;
		}
		this.nextAttemptNanos.put(service, nowNanos + DispatchSettings.CONSOLIDATION_INTERVAL.toNanos());
		Attempt attempt = new Attempt(candidates, nowNanos);
		attempt.select(wanted - countBeingVacated(candidates, nowNanos));
		Duration waited = Duration.ofNanos(nowNanos - waitingSince);
		this.listener.consolidationAttempted(attempt.result(service, waiting, waited, wanted));
		attempt.freed.forEach((host, planned) -> {
			host.host().vacate(nowNanos);
			planned.forEach((move) -> this.moves.plan(move.task(), move.target(), nowNanos));
			this.listener.hostChanged(host.host().name(), "vacated",
					planned.size() + " services are moved, fillers that need " + waiting
							+ " millicores have waited for " + waited.toMillis() + " ms");
		});
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

	private int countBeingVacated(Collection<CandidateHost> candidates, long nowNanos) {
		return (int) candidates.stream()
			.filter((candidate) -> candidate.host().isVacated(nowNanos) && candidate.host()
				.services()
				.stream()
				.anyMatch((placement) -> this.moves.concerns(placement.task().key())))
			.count();
	}

	// A step with a limit of unavailable tasks is not moved: a crash elsewhere during the
	// move could make one task more unavailable than the limit allows.
	private boolean movable(Placement placement, long nowNanos) {
		StepSpecification step = placement.task().step();
		return placement.current() && placement.phase() == Placement.Phase.REPORTED && !step.gang()
				&& step.unavailableLimit() < 0 && !Suspicion.suspected(placement.task())
				&& !this.moves.concerns(placement.task().key())
				&& placement.age(nowNanos).compareTo(DispatchSettings.MINIMUM_TIME_BETWEEN_MOVES) >= 0;
	}

	/**
	 * Selection of the workers that one attempt frees.
	 */
	private final class Attempt {

		private final long nowNanos;

		private final Map<String, Integer> freeByDomain = new HashMap<>();

		private int free;

		private long roomMilliCores;

		private long shortTaskMilliCores;

		private final List<CandidateHost> serving = new ArrayList<>();

		private final Set<CandidateHost> rejected = new HashSet<>();

		private final Map<CandidateHost, List<PackingTrial.TrialMove>> freed = new LinkedHashMap<>();

		private Attempt(Collection<CandidateHost> candidates, long nowNanos) {
			this.nowNanos = nowNanos;
			for (CandidateHost candidate : candidates) {
				this.roomMilliCores += Math.max(0, candidate.freeMilliCores());
				this.shortTaskMilliCores += candidate.host()
					.placements()
					.values()
					.stream()
					.filter(PackingTrial::endsByItself)
					.mapToInt((placement) -> placement.task().step().reservedMilliCores())
					.sum();
				if (!candidate.host().runsService()) {
					countFree(candidate.host());
				}
				else if (!candidate.hasSuspects() && !candidate.isVacated() && !candidate.isDoubtful()
						&& !candidate.isUnstable()) {
					this.serving.add(candidate);
				}
			}
		}

		private void countFree(HostState host) {
			this.freeByDomain.merge(host.worker().getFailureDomain(), 1, Integer::sum);
			this.free++;
		}

		private void select(int wanted) {
			int tasks = this.serving.stream().mapToInt((host) -> host.host().services().size()).sum();
			int moves = Math.max(DispatchSettings.MINIMUM_CONCURRENT_MOVES,
					(int) (tasks * DispatchSettings.MAXIMUM_MOVED_SHARE)) - ServiceConsolidation.this.moves.pending();
			PackingTrial trial = new PackingTrial(this.serving,
					(placement) -> ServiceConsolidation.this.movable(placement, this.nowNanos),
					ServiceConsolidation.this.moves, DispatchSettings.MAXIMUM_PACKING_CHECKS);
			double room = this.roomMilliCores - this.shortTaskMilliCores * DispatchSettings.SHORT_TASK_HEADROOM;
			while (this.freed.size() < wanted && !trial.exhausted()) {
				CandidateHost host = cheapest(moves);
				if (host == null) {
					break;
				}
				List<PackingTrial.TrialMove> planned = trial.free(host, moves);
				if (planned == null) {
					this.rejected.add(host);
					continue;
				}
				room -= planned.stream().mapToInt((move) -> move.task().task().step().reservedMilliCores()).sum();
				if (room < 0) {
					break;
				}
				countFree(host.host());
				this.freed.put(host, planned);
				moves -= planned.size();
			}
		}

		private @Nullable CandidateHost cheapest(int moves) {
			return this.serving.stream()
				.filter((host) -> !this.rejected.contains(host) && !this.freed.containsKey(host)
						&& host.host().services().size() <= moves && movable(host))
				.min(Comparator.comparingDouble(this::cost))
				.orElse(null);
		}

		private boolean movable(CandidateHost host) {
			return host.host()
				.services()
				.stream()
				.allMatch((placement) -> ServiceConsolidation.this.movable(placement, this.nowNanos));
		}

		private double cost(CandidateHost host) {
			String domain = host.host().worker().getFailureDomain();
			double moved = host.host()
				.services()
				.stream()
				.mapToInt((placement) -> placement.task().step().reservedMilliCores())
				.sum();
			return moved / host.capacityMilliCores()
					+ DOMAIN_BALANCE_WEIGHT * this.freeByDomain.getOrDefault(domain, 0) / Math.max(1, this.free);
		}

		private ConsolidationAttempt result(String service, long waiting, Duration waited, int wanted) {
			int fixed = (int) this.serving.stream().filter((host) -> !movable(host)).count();
			return new ConsolidationAttempt(service, waiting, waited, wanted, this.freed.size(),
					this.freed.values().stream().mapToInt(List::size).sum(), this.rejected.size(), fixed,
					this.serving.size() - fixed - this.rejected.size() - this.freed.size());
		}

	}

}
