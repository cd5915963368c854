package org.crocuspost.interference;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Evidence of all workers on the effect of one job on one service.
 *
 * <p>
 * Holds the sums of the precision and of the effect weighted by precision. The sums decay
 * exponentially as a whole, and a new observation of a worker replaces its earlier one in
 * them. Placement queries the effect of every job on every worker, so iterating over all
 * observations in each query would cost the square of the number of workers.
 *
 * <p>
 * A trial is a worker on which the pair is running. It ends with the first report that
 * does not contain the pair; the evidence is kept.
 */
final class PairEvidence {

	private final double halfLifeNanos;

	private final Map<String, Contribution> contributions = new HashMap<>();

	private final Map<String, Long> trials = new HashMap<>();

	private double precision;

	private double weightedEffect;

	private long updatedNanos;

	PairEvidence(Duration halfLife) {
		this.halfLifeNanos = halfLife.toNanos();
	}

	void observe(String worker, JobEffect effect, long now) {
		decay(now);
		Contribution newest = Contribution.of(effect, now);
		Contribution earlier = this.contributions.put(worker, newest);
		if (earlier != null) {
			add(earlier, -decayFactor(earlier.observedNanos(), now));
		}
		add(newest, 1);
		this.trials.put(worker, now);
	}

	void endTrial(String worker) {
		this.trials.remove(worker);
	}

	JobEffect effect(long now) {
		double factor = decayFactor(this.updatedNanos, now);
		double sum = JobEffect.UNKNOWN.precision() + Math.max(0, this.precision * factor);
		double mean = (JobEffect.UNKNOWN.mean() * JobEffect.UNKNOWN.precision() + this.weightedEffect * factor) / sum;
		return new JobEffect(mean, 1 / Math.sqrt(sum));
	}

	long trialsSince(long nanos) {
		return this.trials.values().stream().filter((reported) -> reported >= nanos).count();
	}

	/**
	 * Removes old observations and trials, and computes the sums of the remaining
	 * observations anew, which removes accumulated rounding errors.
	 * @param oldest the time before which observations and trials are removed, in
	 * nanoseconds
	 * @return whether no observation is left
	 */
	boolean removeExpired(long oldest) {
		this.contributions.values().removeIf((entry) -> entry.observedNanos() < oldest);
		this.trials.values().removeIf((reported) -> reported < oldest);
		this.precision = 0;
		this.weightedEffect = 0;
		this.contributions.values()
			.forEach((entry) -> add(entry, decayFactor(entry.observedNanos(), this.updatedNanos)));
		return this.contributions.isEmpty();
	}

	private void decay(long now) {
		double factor = decayFactor(this.updatedNanos, now);
		this.precision *= factor;
		this.weightedEffect *= factor;
		this.updatedNanos = now;
	}

	private void add(Contribution entry, double factor) {
		this.precision += factor * entry.precision();
		this.weightedEffect += factor * entry.weightedEffect();
	}

	private double decayFactor(long nanos, long now) {
		return Math.pow(0.5, (now - nanos) / this.halfLifeNanos);
	}

	/**
	 * Evidence of one worker in excess of that for an unknown job.
	 *
	 * @param precision the precision
	 * @param weightedEffect the effect weighted by the precision
	 * @param observedNanos the time of the observation in nanoseconds
	 */
	private record Contribution(double precision, double weightedEffect, long observedNanos) {

		private static Contribution of(JobEffect effect, long now) {
			double own = Math.max(effect.precision(), JobEffect.UNKNOWN.precision());
			double excess = own - JobEffect.UNKNOWN.precision();
			double prior = JobEffect.UNKNOWN.precision() * JobEffect.UNKNOWN.mean();
			return new Contribution(excess, own * effect.mean() - prior, now);
		}

	}

}
