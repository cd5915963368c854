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
 * What the fleet has learned of services and jobs that share workers. Placement adds the
 * penalty of a pair to the cost of a worker. Not safe for use by several threads.
 *
 * <p>
 * Each worker reports its own evidence again and again, so only the newest of each worker
 * counts. Evidence is averaged by its precision beyond that of an unknown job. Precision
 * decays with age, so that a pair becomes unknown again and is tried again.
 *
 * <p>
 * An unknown pair is tried on a few workers of a service at once and only where the
 * service is well within its objective. A further task on a worker that runs the job
 * already is no new trial. Otherwise a job that runs on many workers could not resume its
 * evicted tasks anywhere.
 */
public final class PairPenalties {

	/**
	 * How long a worker without a report counts as trying the pairs of its last one.
	 */
	private static final Duration EXPLORATION_MEMORY = Duration.ofSeconds(30);

	private static final double CAUTION_WITHOUT_ROOM = 1;

	private static final int MOST_HALF_LIVES = 8;

	private final PairPenaltySettings settings;

	private final Clock clock;

	private final Map<Pair, PairEvidence> evidence = new HashMap<>();

	private final Map<String, Set<Pair>> trialsByWorker = new HashMap<>();

	/**
	 * Creates penalties without knowledge.
	 * @param settings the settings
	 * @param clock tells the age of observations
	 */
	public PairPenalties(PairPenaltySettings settings, Clock clock) {
		this.settings = settings;
		this.clock = clock;
	}

	/**
	 * Takes all observations of the newest report of a worker. A pair that the report
	 * does not name no longer runs there.
	 * @param worker the name of the worker
	 * @param observations what it has learned of the pairs that run on it
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
		PairEvidence known = this.evidence.get(pair);
		if (known != null) {
			known.endTrial(worker);
		}
	}

	/**
	 * Takes the newest observation of a worker.
	 * @param worker the name of the worker
	 * @param observation what it has learned
	 */
	public void observe(String worker, PairObservation observation) {
		Pair pair = new Pair(observation.service(), observation.job());
		this.trialsByWorker.computeIfAbsent(worker, (name) -> new HashSet<>()).add(pair);
		this.evidence.computeIfAbsent(pair, (key) -> new PairEvidence(this.settings.halfLife()))
			.observe(worker, observation.effect(), this.clock.nanoTime());
	}

	/**
	 * Returns what the fleet knows of a pair.
	 * @param service the name of the service
	 * @param job the name of the job
	 * @return the effect of the job on the service
	 */
	public JobEffect effect(String service, String job) {
		PairEvidence known = this.evidence.get(new Pair(service, job));
		return (known != null) ? known.effect(this.clock.nanoTime()) : JobEffect.UNKNOWN;
	}

	/**
	 * Returns the penalty for starting a job beside a service on a worker that does not
	 * run the job.
	 * @param service the name of the service on the worker
	 * @param job the name of the job
	 * @param share the share of the worker's cores that the task takes
	 * @param pressure the tail of the service's latency on the worker relative to its
	 * objective
	 * @return the expected rise of the logarithm of the service's latency, or none if the
	 * job must not be tried there now
	 */
	public Optional<Double> penalty(String service, String job, double share, double pressure) {
		boolean unknown = unknown(effect(service, job));
		if (unknown && exploring(service, job) >= this.settings.mostExploring()) {
			return Optional.empty();
		}
		return furtherPenalty(service, job, share, pressure);
	}

	/**
	 * Returns the penalty for starting a further task on a worker that runs the job
	 * already.
	 * @param service the name of the service on the worker
	 * @param job the name of the job
	 * @param share the share of the worker's cores that the task takes
	 * @param pressure the tail of the service's latency on the worker relative to its
	 * objective
	 * @return the expected rise of the logarithm of the service's latency, or none if no
	 * task of the job must be added there now
	 */
	public Optional<Double> furtherPenalty(String service, String job, double share, double pressure) {
		JobEffect effect = effect(service, job);
		boolean room = pressure <= this.settings.explorationPressure();
		if (unknown(effect) && !room) {
			return Optional.empty();
		}
		return Optional.of(share * effect.upperBound(room ? 0 : CAUTION_WITHOUT_ROOM));
	}

	private boolean unknown(JobEffect effect) {
		return effect.standardError() > this.settings.uncertainError();
	}

	/**
	 * Drops observations that no longer count.
	 */
	public void expire() {
		long oldest = this.clock.nanoTime() - this.settings.halfLife().multipliedBy(MOST_HALF_LIVES).toNanos();
		this.evidence.values().removeIf((known) -> known.expire(oldest));
	}

	private long exploring(String service, String job) {
		PairEvidence known = this.evidence.get(new Pair(service, job));
		return (known != null) ? known.trialsSince(this.clock.nanoTime() - EXPLORATION_MEMORY.toNanos()) : 0;
	}

	private record Pair(String service, String job) {
	}

}
