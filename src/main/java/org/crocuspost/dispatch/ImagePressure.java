package org.crocuspost.dispatch;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Estimates how much the fillers of each image raise the pressure on each service that
 * runs on the same worker.
 *
 * <p>
 * Pressure is the ratio of the tail latency of a service to its target. Load pattern:
 * most pairs of an image and a service hardly interfere, and a few do strongly, since
 * they compete for the same cache or the same bandwidth. Example: fillers of one image
 * that use a tenth of a worker raise one of its services from 0.5 to 5.3 and leave the
 * four others at 0.3. A weight for each image alone, learned from the worst service of a
 * worker, rises and falls with the services that happen to be there; the image seems to
 * need workers without services, although most workers could run it.
 *
 * <p>
 * The model is linear for each service: pressure = base + Σ weight(image, service) ·
 * share(image), where the share is the fraction of the worker's processor that the
 * fillers of the image use. The base is that of the same service on workers without
 * fillers, whose load changes at the same time. A deviation is attributed to the images
 * on the worker in proportion to what was expected of them, and mostly to those that are
 * not known yet: dividing it by their use alone makes a light image heavy that runs
 * beside a heavy one.
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
	 * Difference from the expected pressure up to which a higher one is explained by the
	 * load of the service, which fluctuates.
	 */
	private static final double LOAD_FLUCTUATION = 0.15;

	/**
	 * Pressure assumed on a service without fillers until a report shows it.
	 */
	private static final double DEFAULT_BASE = 0.3;

	/**
	 * Upper bound of what a report counts as the pressure of a service without fillers. A
	 * service on a failing worker can be at a hundred times its target.
	 */
	private static final double MAXIMUM_BASE = 1;

	private static final double BASE_LEARNING_RATE = 0.1;

	/**
	 * Processor use of an image, as a share of the worker, below which a report is not
	 * used to correct its weights.
	 */
	private static final double MINIMUM_SHARE = 0.01;

	/**
	 * Upper bound of the weights. Larger weights do not change any decision.
	 */
	private static final double MAXIMUM_WEIGHT = 60;

	/**
	 * Weight that an unknown pair is assumed to have when a deviation is attributed.
	 */
	private static final double UNKNOWN_WEIGHT = 4;

	/**
	 * The same for a known pair, in addition to its weight, since effects change.
	 */
	private static final double KNOWN_WEIGHT = 0.5;

	/**
	 * Number of reports after which the weight of a pair is used. The first ones show
	 * only a part of the effect, since a report covers the last half second.
	 */
	private static final int MINIMUM_SAMPLES = 4;

	/**
	 * Weight from which on a pair counts as known after any number of reports, so that it
	 * is not tried again.
	 */
	private static final double HEAVY_WEIGHT = 8;

	/**
	 * Maximum number of pairs that are learned. Others count as unknown.
	 */
	private static final int MAXIMUM_PAIRS = 4_000;

	/**
	 * Maximum length of the stored form, so that it fits into a row of the store.
	 */
	private static final int MAXIMUM_STORED_CHARACTERS = 32_000;

	private static final int MAXIMUM_STORED_NAME = 60;

	private static final double STORED_PRECISION = 100;

	private final Map<Pair, Effect> effects = new HashMap<>();

	private final Map<String, Double> bases = new HashMap<>();

	/**
	 * Updates the model with the part of a report that concerns one service.
	 * @param service the image of the service
	 * @param pressure the worst ratio of tail latency to target of its tasks on the host
	 * @param shares the share of the worker that the fillers of each image use
	 */
	public void observe(String service, double pressure, Map<String, Double> shares) {
		if (shares.isEmpty()) {
			learnBase(service, pressure);
			return;
		}
		double expected = 0;
		boolean known = true;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			expected += effect(entry.getKey(), service).weight * entry.getValue();
			known &= isKnown(entry.getKey(), service);
		}
		double error = pressure - basePressure(service) - expected;
		if (error > 0 && error <= LOAD_FLUCTUATION) {
			error = 0;
		}
		double responsible = 0;
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			responsible += (entry.getValue() >= MINIMUM_SHARE)
					? responsibility(entry.getKey(), service, entry.getValue(), error) : 0;
		}
		for (Map.Entry<String, Double> entry : shares.entrySet()) {
			if (entry.getValue() >= MINIMUM_SHARE && this.effects.size() < MAXIMUM_PAIRS) {
				double part = (responsible > 0)
						? responsibility(entry.getKey(), service, entry.getValue(), error) / responsible : 0;
				this.effects.computeIfAbsent(new Pair(entry.getKey(), service), (pair) -> new Effect())
					.correct(error * part / entry.getValue());
			}
		}
		if (known && expected <= LOAD_FLUCTUATION) {
			learnBase(service, pressure - expected);
		}
	}

	private double responsibility(String image, String service, double share, double error) {
		double weight = effect(image, service).weight;
		if (error <= 0) {
			return weight * share;
		}
		return (weight + (isKnown(image, service) ? KNOWN_WEIGHT : UNKNOWN_WEIGHT)) * share;
	}

	private void learnBase(String service, double pressure) {
		this.bases.merge(service, Math.max(0, Math.min(MAXIMUM_BASE, pressure)),
				(base, observed) -> base + BASE_LEARNING_RATE * (observed - base));
	}

	private Effect effect(String image, String service) {
		return this.effects.getOrDefault(new Pair(image, service), Effect.NONE);
	}

	private boolean isKnown(String image, String service) {
		Effect effect = effect(image, service);
		return effect.samples >= MINIMUM_SAMPLES || effect.weight >= HEAVY_WEIGHT;
	}

	/**
	 * Returns the pressure on a service without fillers.
	 * @param service the image of the service
	 * @return the ratio of its tail latency to its target
	 */
	double basePressure(String service) {
		return this.bases.getOrDefault(service, DEFAULT_BASE);
	}

	/**
	 * Encodes the weights for the next leader, which would have to learn them again at
	 * the cost of the services.
	 * @return one line for each pair that was observed often enough
	 */
	public String write() {
		StringBuilder text = new StringBuilder();
		this.effects.forEach((pair, effect) -> {
			if (isKnown(pair.image(), pair.service()) && pair.image().length() <= MAXIMUM_STORED_NAME
					&& pair.service().length() <= MAXIMUM_STORED_NAME && text.length() <= MAXIMUM_STORED_CHARACTERS) {
				text.append(URLEncoder.encode(pair.image(), StandardCharsets.UTF_8))
					.append(' ')
					.append(URLEncoder.encode(pair.service(), StandardCharsets.UTF_8))
					.append(' ')
					.append(Math.round(effect.weight * STORED_PRECISION) / STORED_PRECISION)
					.append('\n');
			}
		});
		return text.toString();
	}

	/**
	 * Restores weights that an earlier leader has learned. Pairs that were observed
	 * already are left as they are. Lines of a leader that knew one weight for each image
	 * are ignored.
	 * @param text the stored form
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public void restore(String text) {
		for (String line : text.lines().toList()) {
			String[] fields = line.split(" ", -1);
			if (fields.length < 2 || fields.length > 3) {
				throw new IllegalArgumentException("malformed weight of an image: " + line);
			}
			double weight = Double.parseDouble(fields[fields.length - 1]);
			if (fields.length == 3 && weight >= 0 && weight <= MAXIMUM_WEIGHT && this.effects.size() < MAXIMUM_PAIRS) {
				this.effects.putIfAbsent(
						new Pair(URLDecoder.decode(fields[0], StandardCharsets.UTF_8),
								URLDecoder.decode(fields[1], StandardCharsets.UTF_8)),
						new Effect(weight, MINIMUM_SAMPLES));
			}
		}
	}

	/**
	 * Returns by how much a filler is expected to raise the pressure on a service.
	 * @param image the image of the filler
	 * @param service the image of the service
	 * @param share the share of the worker that the filler uses
	 * @return the increase, or empty if too few reports show the image next to the
	 * service
	 */
	public OptionalDouble expectedIncrease(String image, String service, double share) {
		return isKnown(image, service) ? OptionalDouble.of(effect(image, service).weight * share)
				: OptionalDouble.empty();
	}

	/**
	 * An image of fillers and a service.
	 *
	 * @param image the image of the fillers
	 * @param service the image of the service
	 */
	private record Pair(String image, String service) {
	}

	/**
	 * Learned effect of a pair. Mutable.
	 */
	private static final class Effect {

		private static final Effect NONE = new Effect();

		private double weight;

		private int samples;

		private Effect() {
		}

		private Effect(double weight, int samples) {
			this.weight = weight;
			this.samples = samples;
		}

		private void correct(double deviation) {
			double rate = (deviation > 0) ? RAISING_RATE : LOWERING_RATE;
			this.weight = Math.max(0, Math.min(MAXIMUM_WEIGHT, this.weight + rate * deviation));
			this.samples++;
		}

	}

}
