package org.crocuspost.dispatch;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Estimates how much the fillers of each image raise the pressure on the services that
 * run on the same worker.
 *
 * <p>
 * Pressure is the worst ratio of tail latency to its target on a worker. The model is
 * linear: pressure = base + Σ weight(image) · share(image), where the share is the
 * fraction of the worker's processor that the fillers of the image use. For example, if
 * three fillers of one image together use a fifth of the worker and raise the pressure
 * from a base of 0.2 to 7, the weight of their image converges to 34. If two images run
 * on the worker, the weight of the image that uses more is corrected more. Attributing
 * each increase to the newest filler instead fails when several fillers start together,
 * and when the load of the service itself fluctuates.
 */
public final class ImagePressure {

	/**
	 * Fraction of the error that one report corrects if the pressure is higher than
	 * expected. Below 1 because the reports overlap and lag by half a second.
	 */
	private static final double RAISING_RATE = 0.5;

	/**
	 * Fraction of the error that one report corrects if the pressure is lower than
	 * expected. Smaller, because a service that misses its target costs several times
	 * what a filler that waits does, and the effect of an image changes within seconds.
	 */
	private static final double LOWERING_RATE = 0.15;

	/**
	 * Pressure assumed on a host without fillers until a report shows it.
	 */
	private static final double DEFAULT_BASE = 0.3;

	private static final double BASE_LEARNING_RATE = 0.2;

	/**
	 * Processor use of all fillers, as a share of the worker, below which a report is not
	 * used to correct the weights.
	 */
	private static final double MINIMUM_SHARE = 0.01;

	/**
	 * Upper bound of the weights. Larger weights do not change any decision.
	 */
	private static final double MAXIMUM_WEIGHT = 60;

	/**
	 * Regularization term that prevents reports with a low use from changing the weights
	 * strongly.
	 */
	private static final double REGULARIZATION = 0.002;

	/**
	 * Number of reports after which the weight of an image is used. The first ones show
	 * only a part of the effect, since a report covers the last half second.
	 */
	private static final int MINIMUM_SAMPLES = 6;

	/**
	 * Maximum number of stored images, so that they fit into a row of the store.
	 */
	private static final int MAXIMUM_STORED_IMAGES = 300;

	private static final int MAXIMUM_STORED_NAME = 60;

	private static final double STORED_PRECISION = 100;

	private final Map<String, Double> weights = new HashMap<>();

	private final Map<String, Integer> samples = new HashMap<>();

	private final Map<String, Double> bases = new HashMap<>();

	/**
	 * Updates the model with one report.
	 * @param host the host
	 * @param pressure the worst ratio of tail latency to target on the host
	 * @param shares the share of the worker that the fillers of each image use
	 */
	public void observe(String host, double pressure, Map<String, Double> shares) {
		double total = 0;
		double expected = this.bases.getOrDefault(host, DEFAULT_BASE);
		double squaredNorm = REGULARIZATION;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			double share = entry.getValue();
			total += share;
			squaredNorm += share * share;
			expected += this.weights.getOrDefault(entry.getKey(), 0.0) * share;
		}
		if (total < MINIMUM_SHARE) {
			if (shares.isEmpty()) {
				this.bases.merge(host, pressure, (base, observed) -> base + BASE_LEARNING_RATE * (observed - base));
			}
			return;
		}
		double error = pressure - expected;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			double correction = ((error > 0) ? RAISING_RATE : LOWERING_RATE) * error * entry.getValue() / squaredNorm;
			double next = this.weights.getOrDefault(entry.getKey(), 0.0) + correction;
			this.weights.put(entry.getKey(), Math.max(0, Math.min(MAXIMUM_WEIGHT, next)));
			this.samples.merge(entry.getKey(), 1, Integer::sum);
		}
	}

	/**
	 * Encodes the weights for the next leader, which would have to learn them again at
	 * the cost of the services.
	 * @return one line for each image that was observed often enough
	 */
	public String write() {
		StringBuilder text = new StringBuilder();
		this.weights.entrySet()
			.stream()
			.filter((entry) -> this.samples.getOrDefault(entry.getKey(), 0) >= MINIMUM_SAMPLES
					&& entry.getKey().length() <= MAXIMUM_STORED_NAME)
			.limit(MAXIMUM_STORED_IMAGES)
			.forEach((entry) -> text.append(URLEncoder.encode(entry.getKey(), StandardCharsets.UTF_8))
				.append(' ')
				.append(Math.round(entry.getValue() * STORED_PRECISION) / STORED_PRECISION)
				.append('\n'));
		return text.toString();
	}

	/**
	 * Restores weights that an earlier leader has learned. Images that were observed
	 * already are left as they are.
	 * @param text the stored form
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public void restore(String text) {
		for (String line : text.lines().toList()) {
			int space = line.indexOf(' ');
			if (space < 0) {
				throw new IllegalArgumentException("malformed weight of an image: " + line);
			}
			String image = URLDecoder.decode(line.substring(0, space), StandardCharsets.UTF_8);
			double weight = Double.parseDouble(line.substring(space + 1));
			if (weight >= 0 && weight <= MAXIMUM_WEIGHT && this.samples.putIfAbsent(image, MINIMUM_SAMPLES) == null) {
				this.weights.put(image, weight);
			}
		}
	}

	/**
	 * Returns by how much a filler is expected to raise the pressure.
	 * @param image the image of the filler
	 * @param share the share of the worker that the filler uses
	 * @return the increase, or empty if too few reports show the image next to services
	 */
	public OptionalDouble expectedIncrease(String image, double share) {
		if (this.samples.getOrDefault(image, 0) < MINIMUM_SAMPLES) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(this.weights.getOrDefault(image, 0.0) * share);
	}

}
