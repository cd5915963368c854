package org.crocuspost.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Packs long-running services on few workers. Fillers on the other workers do not
 * interfere with services and run at full speed.
 *
 * <p>
 * The policy is made for this load: long-running services reserve most of the capacity
 * and use half of it, short jobs arrive continuously, and fillers, which have the highest
 * value, use the remaining capacity. A filler with too small a share of the processor
 * exceeds its latency objective and slows down the services on the same worker.
 * Therefore, it waits for processor capacity unless every worker is short of it.
 */
public final class DefaultPlacementPolicy implements PlacementPolicy {

	/**
	 * Highest pressure that a filler may cause on a worker that runs a service, as the
	 * ratio of the service's tail latency to its target. Leaves a margin, because the
	 * load of a service fluctuates by half.
	 */
	static final double MAXIMUM_PRESSURE = 0.65;

	/**
	 * Score added for a worker in the rack that holds the data; exceeds any difference in
	 * free capacity.
	 */
	private static final double DATA_LOCALITY_WEIGHT = 10;

	/**
	 * Score added for a worker that runs a service, since workers without services are
	 * kept for fillers; subtracted when a filler is placed. Exceeds any difference in
	 * free capacity.
	 */
	private static final double SERVICE_WEIGHT = 1.5;

	/**
	 * Weight of the workers without services in a failure domain when a service takes one
	 * of them. If all were in one domain, fillers that press hard on services would have
	 * none while it is out of service.
	 */
	private static final double DOMAIN_BALANCE_WEIGHT = 0.5;

	/**
	 * Score subtracted for a worker off which services were moved a short time ago.
	 * Exceeds the weight of services.
	 */
	private static final double VACATED_PENALTY = 4;

	/**
	 * Score subtracted for a worker that is still slow after its start.
	 */
	private static final double COLD_START_PENALTY = 2;

	/**
	 * Share of a worker up to which a short task is packed on the fullest worker with
	 * services. Spread over all of them, such tasks leave many gaps that are too small
	 * for a task of a service. Larger ones, if packed, leave light fillers too little
	 * processor capacity on the same workers.
	 */
	private static final double MAXIMUM_PACKED_SHARE = 0.025;

	/**
	 * Smallest increase that is reported for a known image, since 0 means that the image
	 * is unknown.
	 */
	private static final double MINIMUM_KNOWN_INCREASE = 0.01;

	/**
	 * Expected increase of the pressure up to which a filler runs beside services even
	 * while other workers are free.
	 */
	private static final double LIGHT_INCREASE = 0.25;

	/**
	 * Expected increase of the pressure up to which a filler runs beside a service that
	 * is above the maximum pressure by itself.
	 */
	private static final double NEGLIGIBLE_INCREASE = 0.03;

	/**
	 * Highest pressure on a service beside which fillers start that hardly raise it. The
	 * pace control slows fillers down above it.
	 */
	private static final double MAXIMUM_NEGLIGIBLE_PRESSURE = 0.85;

	/**
	 * Expected increase of the pressure above which a filler does not suit a worker. The
	 * placement admits fillers up to a pressure of 0.65, and idle services cause 0.3.
	 */
	private static final double HEAVY_INCREASE = 0.35;

	/**
	 * Share of the workers with services below which those that suit an image do not
	 * count as capacity for it.
	 */
	private static final double MINIMUM_SUITED_SHARE = 0.1;

	/**
	 * Maximum number of fillers of an unknown image that run beside services at the same
	 * time. A step of 100 tasks would otherwise press on 100 services at once.
	 */
	private static final int MAXIMUM_TRIALS = 1;

	private final ImagePressure imagePressure;

	/**
	 * Creates a policy.
	 * @param imagePressure estimates how much fillers raise the pressure on services
	 */
	public DefaultPlacementPolicy(ImagePressure imagePressure) {
		this.imagePressure = imagePressure;
	}

	@Override
	public @Nullable CandidateHost choose(TaskProgress task, Collection<CandidateHost> candidates) {
		StepSpecification step = task.step();
		CandidateHost best = null;
		double bestScore = 0;
		boolean mayTry = mayTry(step, candidates);
		for (CandidateHost candidate : candidates) {
			if (!PlacementPolicy.feasible(task, candidate)
					|| suitability(step, candidate, mayTry) != WorkerCondition.SUITED) {
				continue;
			}
			double score = score(step, candidate);
			if (step.lasting() && !step.filler() && !candidate.host().runsService()) {
				score += DOMAIN_BALANCE_WEIGHT * shareWithoutServices(candidate, candidates);
			}
			if (best == null || isSounder(candidate, best)
					|| (candidate.isDoubtful() == best.isDoubtful() && score > bestScore)) {
				best = candidate;
				bestScore = score;
			}
		}
		if (best != null && step.filler() && best.host().runsService()) {
			best.addExpectedIncreases(reservedPressures(step, best.host()));
		}
		return best;
	}

	@Override
	public @Nullable CandidateHost chooseForStarving(TaskProgress task, Collection<CandidateHost> candidates) {
		CandidateHost best = null;
		for (CandidateHost candidate : candidates) {
			if (PlacementPolicy.feasible(task, candidate) && (best == null || isSounder(candidate, best)
					|| (candidate.isDoubtful() == best.isDoubtful() && contention(candidate) < contention(best)))) {
				best = candidate;
			}
		}
		return best;
	}

	@Override
	public double addedPressure(StepSpecification step, HostState host) {
		return addedPressure(step, host.servicePressures().keySet(), share(step, host));
	}

	private double addedPressure(StepSpecification step, Collection<String> services, double share) {
		double largest = 0;
		boolean unknown = false;
		for (String service : services) {
			OptionalDouble increase = this.imagePressure.expectedIncrease(step.image(), service, share);
			unknown |= increase.isEmpty();
			largest = Math.max(largest, Math.max(MINIMUM_KNOWN_INCREASE, increase.orElse(0)));
		}
		return (unknown && largest <= LIGHT_INCREASE) ? 0 : largest;
	}

	@Override
	public Map<String, Double> reservedPressures(StepSpecification step, HostState host) {
		double share = share(step, host);
		Map<String, Double> increases = new HashMap<>();
		for (String service : host.servicePressures().keySet()) {
			increases.put(service,
					this.imagePressure.expectedIncrease(step.image(), service, share).orElse(MAXIMUM_PRESSURE));
		}
		return increases;
	}

	@Override
	public boolean needsFreeWorker(StepSpecification step, Collection<HostState> hosts) {
		int serving = 0;
		int suited = 0;
		for (HostState host : hosts) {
			if (host.runsService()) {
				serving++;
				suited += (addedPressure(step, host) <= HEAVY_INCREASE) ? 1 : 0;
			}
		}
		return serving > 0 && suited < serving * MINIMUM_SUITED_SHARE;
	}

	private static double share(StepSpecification step, HostState host) {
		return step.milliCores() / (double) Math.max(1, host.worker().getMilliCores());
	}

	/**
	 * Returns how many of the workers without services share a worker's failure domain,
	 * so that services take them from the domain that has the most.
	 * @param chosen the host of the worker
	 * @param candidates all hosts
	 * @return the number as a share of all workers
	 */
	private static double shareWithoutServices(CandidateHost chosen, Collection<CandidateHost> candidates) {
		String domain = chosen.host().worker().getFailureDomain();
		int count = 0;
		for (CandidateHost candidate : candidates) {
			count += (!candidate.host().runsService() && candidate.host().worker().getFailureDomain().equals(domain))
					? 1 : 0;
		}
		return count / (double) candidates.size();
	}

	private static boolean isSounder(CandidateHost candidate, CandidateHost other) {
		return !candidate.isDoubtful() && other.isDoubtful();
	}

	private static double contention(CandidateHost candidate) {
		return candidate.fillers() + candidate.host().pressure();
	}

	/**
	 * Returns how many fillers of an image run beside services next to which the image is
	 * unknown, to find out how much they press on them.
	 * @param image the image
	 * @param candidates the hosts
	 * @return the number
	 */
	private int trials(String image, Collection<CandidateHost> candidates) {
		int count = 0;
		for (CandidateHost candidate : candidates) {
			count += isUnknown(image, candidate) ? candidate.host().fillersOf(image) : 0;
		}
		return count;
	}

	private boolean isUnknown(String image, CandidateHost candidate) {
		for (String service : candidate.servicePressures().keySet()) {
			if (this.imagePressure.expectedIncrease(image, service, 1).isEmpty()) {
				return true;
			}
		}
		return false;
	}

	private boolean runsTrial(CandidateHost candidate) {
		for (Placement placement : candidate.host().placements().values()) {
			StepSpecification step = placement.task().step();
			if (step.filler() && isUnknown(step.image(), candidate)) {
				return true;
			}
		}
		return false;
	}

	@Override
	public boolean mayTry(StepSpecification step, Collection<CandidateHost> candidates) {
		return !step.filler() || trials(step.image(), candidates) < MAXIMUM_TRIALS;
	}

	@Override
	public WorkerCondition suitability(StepSpecification step, CandidateHost candidate, boolean mayTry) {
		if (!step.filler()) {
			return WorkerCondition.SUITED;
		}
		if (candidate.freeFillerMilliCores() < step.milliCores() * DispatchSettings.MINIMUM_FILLER_SHARE) {
			return WorkerCondition.FILLER_CORES;
		}
		if (!candidate.host().runsService()) {
			return WorkerCondition.SUITED;
		}
		return candidate.isBackingOff(step.image()) ? WorkerCondition.BACK_OFF
				: pressureCondition(step, candidate, mayTry);
	}

	// Allows only one filler on a worker whose image is unknown beside one of its
	// services.
	// The effect of the filler is visible within a second.
	private WorkerCondition pressureCondition(StepSpecification step, CandidateHost candidate, boolean mayTry) {
		double share = share(step, candidate.host());
		boolean unknown = false;
		for (Map.Entry<String, Double> service : candidate.servicePressures().entrySet()) {
			OptionalDouble increase = this.imagePressure.expectedIncrease(step.image(), service.getKey(), share);
			unknown |= increase.isEmpty();
			double reported = (service.getValue() >= 0) ? service.getValue()
					: this.imagePressure.basePressure(service.getKey());
			double pressure = reported + candidate.pendingIncrease(service.getKey());
			boolean negligible = increase.isPresent() && increase.getAsDouble() <= NEGLIGIBLE_INCREASE;
			double maximum = negligible ? MAXIMUM_NEGLIGIBLE_PRESSURE : MAXIMUM_PRESSURE;
			if (pressure + increase.orElse(0) > maximum) {
				return WorkerCondition.PRESSURE;
			}
		}
		return (unknown && (!mayTry || runsTrial(candidate))) ? WorkerCondition.TRIAL : WorkerCondition.SUITED;
	}

	private boolean isLight(StepSpecification step, CandidateHost candidate) {
		double increase = addedPressure(step, candidate.servicePressures().keySet(), share(step, candidate.host()));
		return increase > 0 && increase <= LIGHT_INCREASE;
	}

	private double score(StepSpecification step, CandidateHost candidate) {
		double capacity = candidate.capacityMilliCores();
		boolean withService = candidate.host().runsService();
		double score;
		if (step.filler()) {
			double preference = isLight(step, candidate) ? SERVICE_WEIGHT : -SERVICE_WEIGHT;
			score = candidate.freeFillerMilliCores() / capacity - candidate.host().pressure()
					+ (withService ? preference : 0);
		}
		else if (step.lasting()) {
			score = (withService ? SERVICE_WEIGHT : 0) - candidate.freeMilliCores() / capacity
					- (candidate.isVacated() ? VACATED_PENALTY : 0);
		}
		else {
			double freeShare = candidate.freeMilliCores() / capacity;
			boolean packed = withService && step.milliCores() <= capacity * MAXIMUM_PACKED_SHARE;
			score = (withService ? SERVICE_WEIGHT : 0) + (packed ? -freeShare : freeShare);
		}
		if (!step.dataRack().isEmpty() && step.dataRack().equals(candidate.rack())) {
			score += DATA_LOCALITY_WEIGHT;
		}
		if (candidate.host().worker().getColdMillis() > 0) {
			score -= COLD_START_PENALTY;
		}
		return score;
	}

}
