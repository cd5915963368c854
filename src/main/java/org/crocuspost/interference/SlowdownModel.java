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
 * Kalman filter tracks the base and the effects, which drift. Example: job {@code a} goes
 * from exposure 0.5 to 0.2 while {@code b} stays at 0.3; the latency falls by 30%. The
 * filter changes the effect of {@code a} and leaves that of {@code b}, however large
 * {@code b} is. Comparing the latency before and after each change fails if several jobs
 * change at once or if there are few requests in between; attributing the slowdown to the
 * largest job fails whenever a small one causes it.
 *
 * <p>
 * The uncertainty of an effect grows with time up to that of an unknown job. A cautious
 * planner then throttles the job slightly, which makes its effect measurable again.
 */
final class SlowdownModel {

	private static final int MAX_JOBS = 24;

	private static final double INITIAL_BASE_DEVIATION = 3;

	private static final double BASE_DRIFT_VARIANCE = 1e-4;

	private static final double EFFECT_DRIFT_VARIANCE = 1e-5;

	private static final double MIN_LOG_VARIANCE = 0.05;

	private static final double MODEL_ERROR_VARIANCE = 4e-4;

	private static final double MIN_PRIOR_ERROR = 0.15;

	private final EffectPriors priors;

	private final List<String> jobs = new ArrayList<>();

	private Set<String> runningJobs = Set.of();

	private double[] state = new double[1];

	private double[][] covariance = { { INITIAL_BASE_DEVIATION * INITIAL_BASE_DEVIATION } };

	private boolean initialized;

	SlowdownModel(EffectPriors priors) {
		this.priors = priors;
	}

	/**
	 * Updates the estimates from the latencies of one interval.
	 * @param interval the latencies
	 * @param exposures the exposure of each job during the interval
	 */
	void observe(LatencyInterval interval, Map<String, Double> exposures) {
		exposures.keySet().forEach(this::addOrReset);
		this.runningJobs = Set.copyOf(exposures.keySet());
		if (interval.samples() == 0) {
			return;
		}
		if (!this.initialized) {
			this.state[0] = interval.meanLog();
			this.initialized = true;
		}
		predict();
		double logVariance = Math.max(MIN_LOG_VARIANCE, interval.varianceLog());
		update(interval.meanLog(), features(exposures), logVariance / interval.samples() + MODEL_ERROR_VARIANCE);
	}

	/**
	 * Returns the estimated effect of a job.
	 * @param job the name of the job
	 * @return the estimate; the prior if the model does not contain the job
	 */
	JobEffect effect(String job) {
		int index = this.jobs.indexOf(job) + 1;
		if (index == 0) {
			return prior(job);
		}
		return new JobEffect(this.state[index], Math.sqrt(this.covariance[index][index]));
	}

	private JobEffect prior(String job) {
		JobEffect prior = this.priors.effect(job);
		return new JobEffect(prior.mean(), Math.max(MIN_PRIOR_ERROR, prior.standardError()));
	}

	private void addOrReset(String job) {
		if (!this.jobs.contains(job)) {
			addJob(job);
		}
		else if (!this.runningJobs.contains(job) && prior(job).precision() > effect(job).precision()) {
			resetToPrior(job);
		}
	}

	private void addJob(String job) {
		if (this.jobs.size() == MAX_JOBS) {
			removeJob(1);
		}
		this.jobs.add(job);
		int size = this.jobs.size() + 1;
		double[][] grown = new double[size][size];
		for (int row = 0; row < size - 1; row++) {
			System.arraycopy(this.covariance[row], 0, grown[row], 0, size - 1);
		}
		this.state = Arrays.copyOf(this.state, size);
		this.covariance = grown;
		resetToPrior(job);
	}

	private void resetToPrior(String job) {
		int index = this.jobs.indexOf(job) + 1;
		JobEffect prior = prior(job);
		for (int other = 0; other < this.state.length; other++) {
			this.covariance[index][other] = 0;
			this.covariance[other][index] = 0;
		}
		this.state[index] = prior.mean();
		this.covariance[index][index] = 1 / prior.precision();
	}

	private void removeJob(int index) {
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

	private void predict() {
		this.covariance[0][0] += BASE_DRIFT_VARIANCE;
		double maxVariance = JobEffect.UNKNOWN.standardError() * JobEffect.UNKNOWN.standardError();
		for (int i = 1; i < this.state.length; i++) {
			if (this.covariance[i][i] < maxVariance) {
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

	private void update(double measured, double[] features, double noise) {
		int size = this.state.length;
		double[] projected = new double[size];
		double expected = 0;
		double innovationVariance = noise;
		for (int row = 0; row < size; row++) {
			for (int column = 0; column < size; column++) {
				projected[row] += this.covariance[row][column] * features[column];
			}
			expected += this.state[row] * features[row];
			innovationVariance += projected[row] * features[row];
		}
		double innovation = measured - expected;
		for (int row = 0; row < size; row++) {
			this.state[row] += projected[row] / innovationVariance * innovation;
			for (int column = 0; column < size; column++) {
				this.covariance[row][column] -= projected[row] * projected[column] / innovationVariance;
			}
		}
	}

}
