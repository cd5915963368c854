package org.crocuspost.interference;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how much each job on a worker slows the service down, from the changes of
 * latency that follow changes of the jobs' exposure (share of the worker's cores times
 * throttle).
 *
 * <p>
 * The model is linear: mean log latency = base + Σ effect(job) · exposure(job) + noise. A
 * Kalman filter follows base and effects, which drift. Example: job {@code a} goes from
 * exposure 0.5 to 0.2 while {@code b} stays at 0.3; the latency falls by 30%. The filter
 * moves the effect of {@code a} and leaves that of {@code b}, however large {@code b} is.
 * Comparing the latency before and after each change fails when several jobs change at
 * once or when there are few requests in between; blaming the largest job fails whenever
 * a small one is at fault.
 *
 * <p>
 * Knowledge fades: uncertainty grows with time up to that of an unknown job. A cautious
 * planner then throttles the job a little, which shows its effect again.
 */
final class SlowdownModel {

	private static final int MOST_JOBS = 24;

	private static final double BASE_DEVIATION = 3;

	private static final double BASE_DRIFT_VARIANCE = 1e-4;

	private static final double EFFECT_DRIFT_VARIANCE = 1e-5;

	private static final double LEAST_LOG_VARIANCE = 0.05;

	private static final double MODEL_ERROR_VARIANCE = 4e-4;

	private static final double LEAST_PRIOR_ERROR = 0.15;

	private final EffectPriors priors;

	private final List<String> jobs = new ArrayList<>();

	private Set<String> present = Set.of();

	private double[] state = new double[1];

	private double[][] covariance = { { BASE_DEVIATION * BASE_DEVIATION } };

	private boolean initialized;

	SlowdownModel(EffectPriors priors) {
		this.priors = priors;
	}

	/**
	 * Learns from one interval.
	 * @param interval the latencies
	 * @param exposures the exposure of each job during the interval
	 */
	void observe(LatencyInterval interval, Map<String, Double> exposures) {
		exposures.keySet().forEach(this::include);
		this.present = Set.copyOf(exposures.keySet());
		if (interval.samples() == 0) {
			return;
		}
		if (!this.initialized) {
			this.state[0] = interval.meanLog();
			this.initialized = true;
		}
		drift();
		double logVariance = Math.max(LEAST_LOG_VARIANCE, interval.varianceLog());
		correct(interval.meanLog(), features(exposures), logVariance / interval.samples() + MODEL_ERROR_VARIANCE);
	}

	/**
	 * Returns what is known of a job.
	 * @param job the name of the job
	 * @return its effect
	 */
	JobEffect effect(String job) {
		int index = this.jobs.indexOf(job) + 1;
		if (index == 0) {
			return prior(job);
		}
		return new JobEffect(this.state[index], Math.sqrt(this.covariance[index][index]));
	}

	private JobEffect prior(String job) {
		JobEffect prior = this.priors.of(job);
		return new JobEffect(prior.mean(), Math.max(LEAST_PRIOR_ERROR, prior.standardError()));
	}

	private void include(String job) {
		if (!this.jobs.contains(job)) {
			append(job);
		}
		else if (!this.present.contains(job) && prior(job).precision() > effect(job).precision()) {
			restart(job);
		}
	}

	private void append(String job) {
		if (this.jobs.size() == MOST_JOBS) {
			remove(1);
		}
		this.jobs.add(job);
		int size = this.jobs.size() + 1;
		double[][] grown = new double[size][size];
		for (int row = 0; row < size - 1; row++) {
			System.arraycopy(this.covariance[row], 0, grown[row], 0, size - 1);
		}
		this.state = Arrays.copyOf(this.state, size);
		this.covariance = grown;
		restart(job);
	}

	private void restart(String job) {
		int index = this.jobs.indexOf(job) + 1;
		JobEffect prior = prior(job);
		for (int other = 0; other < this.state.length; other++) {
			this.covariance[index][other] = 0;
			this.covariance[other][index] = 0;
		}
		this.state[index] = prior.mean();
		this.covariance[index][index] = 1 / prior.precision();
	}

	private void remove(int index) {
		this.jobs.remove(index - 1);
		int size = this.jobs.size() + 1;
		double[] shrunkState = new double[size];
		double[][] shrunk = new double[size][size];
		for (int row = 0; row < size; row++) {
			int oldRow = (row < index) ? row : row + 1;
			shrunkState[row] = this.state[oldRow];
			for (int column = 0; column < size; column++) {
				int oldColumn = (column < index) ? column : column + 1;
				shrunk[row][column] = this.covariance[oldRow][oldColumn];
			}
		}
		this.state = shrunkState;
		this.covariance = shrunk;
	}

	private void drift() {
		this.covariance[0][0] += BASE_DRIFT_VARIANCE;
		double most = JobEffect.UNKNOWN.standardError() * JobEffect.UNKNOWN.standardError();
		for (int i = 1; i < this.state.length; i++) {
			if (this.covariance[i][i] < most) {
				this.covariance[i][i] += EFFECT_DRIFT_VARIANCE;
			}
		}
	}

	private double[] features(Map<String, Double> exposures) {
		double[] features = new double[this.state.length];
		features[0] = 1;
		for (int i = 1; i < features.length; i++) {
			features[i] = exposures.getOrDefault(this.jobs.get(i - 1), 0.0);
		}
		return features;
	}

	private void correct(double measured, double[] features, double noise) {
		int size = this.state.length;
		double[] projected = new double[size];
		double expected = 0;
		double variance = noise;
		for (int row = 0; row < size; row++) {
			for (int column = 0; column < size; column++) {
				projected[row] += this.covariance[row][column] * features[column];
			}
			expected += this.state[row] * features[row];
			variance += projected[row] * features[row];
		}
		double error = measured - expected;
		for (int row = 0; row < size; row++) {
			this.state[row] += projected[row] / variance * error;
			for (int column = 0; column < size; column++) {
				this.covariance[row][column] -= projected[row] * projected[column] / variance;
			}
		}
	}

}
