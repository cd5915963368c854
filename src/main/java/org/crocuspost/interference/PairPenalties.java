package org.crocuspost.interference;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.time.Clock;

/**
 * Evidence of the fleet on pairs of a service and a job that share workers, and the
 * penalties derived from it. Placement adds the penalty of a pair to the cost of a
 * worker. Not thread-safe.
 *
 * <p>
 * Each worker reports its evidence repeatedly, so only the newest report of each worker
 * counts. Evidence is averaged with weights equal to its precision in excess of that for
 * an unknown job. Precision decays with age, so that a pair becomes unknown again and is
 * tried again.
 *
 * <p>
 * An unknown pair is tried on only a few workers of a service at once, and only where the
 * service is well within its objective. An additional task on a worker that already runs
 * the job is not a new trial; otherwise a job that runs on many workers could not resume
 * its evicted tasks anywhere.
 */
public final class PairPenalties {

	/**
	 * Time after the last report of a worker for which the pairs in it count as trials.
	 */
	private static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(30);

	private static final double CAUTION_AT_HIGH_PRESSURE = 1;

	private static final int MAX_AGE_HALF_LIVES = 8;

	private final PairPenaltySettings settings;

	private final Clock clock;

	private final Map<Pair, PairEvidence> evidence = new HashMap<>();

	private final Map<String, Set<Pair>> trialsByWorker = new HashMap<>();

	/**
	 * Creates penalties without evidence.
	 * @param settings the settings
	 * @param clock the clock from which the ages of observations are computed
	 */
	public PairPenalties(PairPenaltySettings settings, Clock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	/**
	 * Records all observations of the newest report of a worker. A pair that the report
	 * does not contain is no longer running on the worker.
	 * @param worker the name of the worker
	 * @param observations the observations for the pairs that are running on the worker
	 */
	public void recordReport(String worker, List<PairObservation> observations) {
		Set<Pair> ended = this.trialsByWorker.remove(worker);
		observations.forEach((observation) -> observe(worker, observation));
		if (ended != null) {
			ended.removeAll(this.trialsByWorker.getOrDefault(worker, Set.of()));
			ended.forEach((pair) -> endTrial(worker, pair));
		}
	}

	private void endTrial(String worker, Pair pair) {
		PairEvidence pairEvidence = this.evidence.get(pair);
		if (pairEvidence != null) {
			pairEvidence.endTrial(worker);
		}
	}

	/**
	 * Records the newest observation of a worker for one pair.
	 * @param worker the name of the worker
	 * @param observation the observation
	 */
	public void observe(String worker, PairObservation observation) {
		Pair pair = new Pair(observation.service(), observation.job());
		this.trialsByWorker.computeIfAbsent(worker, (name) -> new HashSet<>()).add(pair);
		this.evidence.computeIfAbsent(pair, (key) -> new PairEvidence(this.settings.halfLife()))
			.observe(worker, observation.effect(), this.clock.nanoTime());
	}

	/**
	 * Returns the fleet's estimate for a pair.
	 * @param service the name of the service
	 * @param job the name of the job
	 * @return the effect of the job on the service
	 */
	public JobEffect effect(String service, String job) {
		PairEvidence pairEvidence = this.evidence.get(new Pair(service, job));
		return (pairEvidence != null) ? pairEvidence.effect(this.clock.nanoTime()) : JobEffect.UNKNOWN;
	}

	/**
	 * Returns the penalty for starting a task on a worker that runs the service but not
	 * yet the job.
	 * @param service the name of the service on the worker
	 * @param job the name of the job
	 * @param share the share of the worker's cores that the task reserves, 0 to 1
	 * @param pressure the tail latency of the service on the worker divided by its
	 * objective
	 * @return the expected increase of the logarithm of the service's latency, or empty
	 * if the job must not be tried there now
	 */
	public Optional<Double> penalty(String service, String job, double share, double pressure) {
		boolean unknown = unknown(effect(service, job));
		if (unknown && activeTrials(service, job) >= this.settings.maxTrials()) {
			return Optional.empty();
		}
		return additionalTaskPenalty(service, job, share, pressure);
	}

	/**
	 * Returns the penalty for starting an additional task on a worker that already runs
	 * the job.
	 * @param service the name of the service on the worker
	 * @param job the name of the job
	 * @param share the share of the worker's cores that the task reserves, 0 to 1
	 * @param pressure the tail latency of the service on the worker divided by its
	 * objective
	 * @return the expected increase of the logarithm of the service's latency, or empty
	 * if no task of the job may be added there now
	 */
	public Optional<Double> additionalTaskPenalty(String service, String job, double share, double pressure) {
		JobEffect effect = effect(service, job);
		boolean lowPressure = pressure <= this.settings.maxTrialPressure();
		if (unknown(effect) && !lowPressure) {
			return Optional.empty();
		}
		return Optional.of(share * effect.upperBound(lowPressure ? 0 : CAUTION_AT_HIGH_PRESSURE));
	}

	private boolean unknown(JobEffect effect) {
		return effect.standardError() > this.settings.unknownStandardError();
	}

	/**
	 * Removes observations that are too old to matter.
	 */
	public void removeExpired() {
		long oldest = this.clock.nanoTime() - this.settings.halfLife().multipliedBy(MAX_AGE_HALF_LIVES).toNanos();
		this.evidence.values().removeIf((pairEvidence) -> pairEvidence.removeExpired(oldest));
	}

	private long activeTrials(String service, String job) {
		PairEvidence pairEvidence = this.evidence.get(new Pair(service, job));
		return (pairEvidence != null) ? pairEvidence.trialsSince(this.clock.nanoTime() - TRIAL_TIMEOUT.toNanos()) : 0;
	}

	private record Pair(String service, String job) {
	}

}
