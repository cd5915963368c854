package org.crocuspost.interference;

import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class TailEstimatorTests {

	private static final double NORMAL_QUANTILE_99 = 2.3263;

	private static final int REPETITIONS = 2000;

	private static final double LOG_STANDARD_DEVIATION = 0.5;

	@ParameterizedTest
	@MethodSource("fewSamples")
	void estimateFromFewSamplesIsCloserThanTheEmpiricalQuantile(int samples) {
		Random random = new Random(samples);
		double exactQuantile = Math.exp(LOG_STANDARD_DEVIATION * NORMAL_QUANTILE_99);
		double estimateError = 0;
		double empiricalError = 0;
		for (int i = 0; i < REPETITIONS; i++) {
			double[] values = draw(random, samples);
			estimateError += Math.abs(TailEstimator.estimate(values, 0.99) / exactQuantile - 1);
			empiricalError += Math.abs(values[(int) Math.ceil(0.99 * samples) - 1] / exactQuantile - 1);
		}
		assertThat(estimateError).isLessThan(empiricalError);
	}

	static Stream<Integer> fewSamples() {
		return Stream.of(15, 30);
	}

	@Test
	void enoughSamplesGiveTheEmpiricalQuantile() {
		double[] values = new double[2000];
		for (int i = 0; i < values.length; i++) {
			values[i] = i + 1;
		}
		assertThat(TailEstimator.estimate(values, 0.99)).isEqualTo(1980);
	}

	@Test
	void noSamplesGiveZero() {
		assertThat(TailEstimator.estimate(new double[0], 0.99)).isZero();
	}

	private static double[] draw(Random random, int samples) {
		double[] values = new double[samples];
		for (int i = 0; i < samples; i++) {
			values[i] = Math.exp(LOG_STANDARD_DEVIATION * random.nextGaussian());
		}
		return values;
	}

}
