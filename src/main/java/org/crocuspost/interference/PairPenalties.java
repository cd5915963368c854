package org.crocuspost.interference;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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
 * service is well within its objective.
 */
public final class PairPenalties {

	private static final Duration EXPLORATION_MEMORY = Duration.ofSeconds(30);

	private static final double CAUTION_WITHOUT_ROOM = 1;

	private static final int MOST_HALF_LIVES = 8;

	private final PairPenaltySettings settings;

	private final Clock clock;

	private final Map<Pair, PairEvidence> evidence = new HashMap<>();

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
	 * Takes the newest observation of a worker.
	 * @param worker the name of the worker
	 * @param observation what it has learned
	 */
	public void observe(String worker, PairObservation observation) {
		Pair pair = new Pair(observation.service(), observation.job());
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
	 * Returns the penalty for starting a job beside a service.
	 * @param service the name of the service on the worker
	 * @param job the name of the job
	 * @param share the share of the worker's cores that the task takes
	 * @param pressure the tail of the service's latency on the worker relative to its
	 * objective
	 * @return the expected rise of the logarithm of the service's latency, or none if the
	 * job must not be tried there now
	 */
	public Optional<Double> penalty(String service, String job, double share, double pressure) {
		JobEffect effect = effect(service, job);
		boolean room = pressure <= this.settings.explorationPressure();
		boolean unknown = effect.standardError() > this.settings.uncertainError();
		if (unknown && (!room || exploring(service, job) >= this.settings.mostExploring())) {
			return Optional.empty();
		}
		return Optional.of(share * effect.upperBound(room ? 0 : CAUTION_WITHOUT_ROOM));
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
		return (known != null) ? known.observedSince(this.clock.nanoTime() - EXPLORATION_MEMORY.toNanos()) : 0;
	}

	private record Pair(String service, String job) {
	}

}
