package org.crocuspost.interference;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What all workers have learned of one service and one job.
 *
 * <p>
 * Keeps the sums of precision and of weighted effect, which decay exponentially as a
 * whole. A new observation of a worker replaces its earlier one in the sums. A placement
 * asks for every job on every worker, so going through all observations each time would
 * cost the square of the number of workers.
 *
 * <p>
 * A trial is a worker on which the pair runs. It ends with the first report that does not
 * name the pair, while the evidence stays.
 */
final class PairEvidence {

	private final double halfLifeNanos;

	private final Map<String, Observed> observed = new HashMap<>();

	private final Map<String, Long> trials = new HashMap<>();

	private double precision;

	private double weighted;

	private long updated;

	PairEvidence(Duration halfLife) {
		this.halfLifeNanos = halfLife.toNanos();
	}

	void observe(String worker, JobEffect effect, long now) {
		decay(now);
		Observed newest = Observed.of(effect, now);
		Observed earlier = this.observed.put(worker, newest);
		if (earlier != null) {
			add(earlier, -freshness(earlier.nanos(), now));
		}
		add(newest, 1);
		this.trials.put(worker, now);
	}

	void endTrial(String worker) {
		this.trials.remove(worker);
	}

	JobEffect effect(long now) {
		double freshness = freshness(this.updated, now);
		double sum = JobEffect.UNKNOWN.precision() + Math.max(0, this.precision * freshness);
		double mean = (JobEffect.UNKNOWN.mean() * JobEffect.UNKNOWN.precision() + this.weighted * freshness) / sum;
		return new JobEffect(mean, 1 / Math.sqrt(sum));
	}

	long trialsSince(long nanos) {
		return this.trials.values().stream().filter((reported) -> reported >= nanos).count();
	}

	/**
	 * Drops old observations and sums the others anew, which removes rounding errors.
	 * @param oldest the time before which observations are dropped
	 * @return whether none is left
	 */
	boolean expire(long oldest) {
		this.observed.values().removeIf((entry) -> entry.nanos() < oldest);
		this.trials.values().removeIf((reported) -> reported < oldest);
		this.precision = 0;
		this.weighted = 0;
		this.observed.values().forEach((entry) -> add(entry, freshness(entry.nanos(), this.updated)));
		return this.observed.isEmpty();
	}

	private void decay(long now) {
		double freshness = freshness(this.updated, now);
		this.precision *= freshness;
		this.weighted *= freshness;
		this.updated = now;
	}

	private void add(Observed entry, double factor) {
		this.precision += factor * entry.precision();
		this.weighted += factor * entry.weighted();
	}

	private double freshness(long nanos, long now) {
		return Math.pow(0.5, (now - nanos) / this.halfLifeNanos);
	}

	/**
	 * Evidence of one worker beyond that of an unknown job.
	 *
	 * @param precision the precision
	 * @param weighted the effect weighted by the precision
	 * @param nanos when it was observed
	 */
	private record Observed(double precision, double weighted, long nanos) {

		private static Observed of(JobEffect effect, long now) {
			double own = Math.max(effect.precision(), JobEffect.UNKNOWN.precision());
			double beyond = own - JobEffect.UNKNOWN.precision();
			double prior = JobEffect.UNKNOWN.precision() * JobEffect.UNKNOWN.mean();
			return new Observed(beyond, own * effect.mean() - prior, now);
		}

	}

}
