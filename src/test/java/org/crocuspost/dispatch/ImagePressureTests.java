package org.crocuspost.dispatch;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what is learned of images and services from reports of workers that run several
 * of both.
 */
class ImagePressureTests {

	private static final double SHARE = 0.1;

	private final ImagePressure pressure = new ImagePressure();

	private double expectedIncrease(String image, String service) {
		return this.pressure.expectedIncrease(image, service, SHARE).orElseThrow();
	}

	/**
	 * Measured on one worker: of five services, one rose from 0.5 to 5.6 beside an image,
	 * and four stayed at 0.25.
	 */
	@Test
	void imageThatPressesOnOneServiceIsLightBesideOthers() {
		for (int report = 0; report < 20; report++) {
			this.pressure.observe("sensitive", 5.6, Map.of("image", SHARE));
			this.pressure.observe("other", 0.25, Map.of("image", SHARE));
		}
		assertThat(expectedIncrease("image", "sensitive")).isGreaterThan(4);
		assertThat(expectedIncrease("image", "other")).isLessThan(0.05);
		assertThat(this.pressure.expectedIncrease("image", "never beside", SHARE)).isEmpty();
	}

	@Test
	void lightImageStaysLightBesideHeavyOne() {
		for (int report = 0; report < 20; report++) {
			this.pressure.observe("service", 0.3, Map.of("light", SHARE));
			this.pressure.observe("service", 3, Map.of("heavy", SHARE));
		}
		for (int report = 0; report < 50; report++) {
			this.pressure.observe("service", 4.5, Map.of("heavy", SHARE, "light", SHARE));
		}
		assertThat(expectedIncrease("light", "service")).isLessThan(0.25);
		assertThat(expectedIncrease("heavy", "service")).isGreaterThan(2.5);
	}

	/**
	 * The load of a service rises on all workers at the same time.
	 */
	@Test
	void risingLoadOfServiceIsNotAttributedToImage() {
		for (int report = 0; report < 200; report++) {
			double base = 0.3 + report / 400.0;
			this.pressure.observe("service", base, Map.of());
			this.pressure.observe("service", base, Map.of("image", SHARE));
		}
		assertThat(expectedIncrease("image", "service")).isLessThan(0.05);
	}

	/**
	 * On a failing worker, a service without fillers reports 143 times its target.
	 */
	@Test
	void failingWorkerDoesNotHideHeavyImage() {
		for (int report = 0; report < 100; report++) {
			this.pressure.observe("service", (report % 10 == 0) ? 143 : 0.4, Map.of());
			this.pressure.observe("service", 4, Map.of("image", SHARE));
		}
		assertThat(expectedIncrease("image", "service")).isGreaterThan(2.5);
	}

	/**
	 * A leader of the version before knew one weight for each image.
	 */
	@Test
	void weightsOfFormerVersionAreIgnored() {
		this.pressure.restore("image 30.0\nimage service 2.0\n");
		assertThat(expectedIncrease("image", "service")).isEqualTo(2 * SHARE);
		assertThat(this.pressure.expectedIncrease("image", "", SHARE)).isEmpty();
	}

}
