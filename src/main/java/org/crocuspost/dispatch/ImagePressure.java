package org.crocuspost.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Learns how much the fillers of each image press on the services beside them.
 *
 * <p>
 * Pressure is the ratio of the worst tail latency on a worker to its target. The model is
 * linear: pressure = base + Σ weight(image) · share(image), where the share is the
 * processor that the fillers of the image use, as a part of the worker. Example: with
 * base 0.2, three fillers of one image that use a fifth of the worker raise the pressure
 * to 7; the weight of their image moves towards 34. Where two images run, the one that
 * uses more is corrected more. To blame the newest filler for each rise fails when
 * several start together, and when the load of the service itself swings.
 */
public final class ImagePressure {

	/**
	 * Share of an error that is corrected at once; the reports overlap and lag by half a
	 * second.
	 */
	private static final double LEARNING_RATE = 0.3;

	/**
	 * Pressure on a service without fillers, before it was seen.
	 */
	private static final double DEFAULT_BASE = 0.3;

	private static final double BASE_RATE = 0.2;

	/**
	 * Use below which a report teaches nothing, as a share of a worker.
	 */
	private static final double LEAST_SHARE = 0.01;

	/**
	 * Larger weights make no difference to any decision.
	 */
	private static final double LARGEST_WEIGHT = 60;

	/**
	 * Keeps reports with little use from moving the weights far.
	 */
	private static final double REGULARIZATION = 0.002;

	/**
	 * Reports after which an image counts as known.
	 */
	private static final int LEAST_SAMPLES = 2;

	private final Map<String, Double> weights = new HashMap<>();

	private final Map<String, Integer> samples = new HashMap<>();

	private final Map<String, Double> bases = new HashMap<>();

	/**
	 * Learns from one report.
	 * @param host the host
	 * @param pressure the worst ratio of tail latency to target
	 * @param shares share of the worker that the fillers of each image use
	 */
	public void observe(String host, double pressure, Map<String, Double> shares) {
		double total = 0;
		double expected = this.bases.getOrDefault(host, DEFAULT_BASE);
		double squares = REGULARIZATION;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			double share = entry.getValue();
			total += share;
			squares += share * share;
			expected += this.weights.getOrDefault(entry.getKey(), 0.0) * share;
		}
		if (total < LEAST_SHARE) {
			if (shares.isEmpty()) {
				this.bases.merge(host, pressure, (known, seen) -> known + BASE_RATE * (seen - known));
			}
			return;
		}
		double error = pressure - expected;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			double correction = LEARNING_RATE * error * entry.getValue() / squares;
			double next = this.weights.getOrDefault(entry.getKey(), 0.0) + correction;
			this.weights.put(entry.getKey(), Math.max(0, Math.min(LARGEST_WEIGHT, next)));
			this.samples.merge(entry.getKey(), 1, Integer::sum);
		}
	}

	/**
	 * Returns by how much a filler would raise the pressure.
	 * @param image the image
	 * @param share the share of the worker that it uses
	 * @return the rise, or empty if the image was hardly seen beside services
	 */
	public OptionalDouble rise(String image, double share) {
		if (this.samples.getOrDefault(image, 0) < LEAST_SAMPLES) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(this.weights.getOrDefault(image, 0.0) * share);
	}

}
