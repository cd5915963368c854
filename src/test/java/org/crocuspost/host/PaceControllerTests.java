package org.crocuspost.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskName;
import org.crocuspost.wire.TaskTraits;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that fillers are slowed down or stopped well within the seconds for which a
 * service may miss its target.
 */
class PaceControllerTests {

	private static final int TARGET = 100;

	private final PaceController controller = new PaceController(PaceSettings.DEFAULT);

	private final Map<String, Integer> paces = new LinkedHashMap<>();

	private long nowNanos;

	private void addFiller(String image) {
		this.paces.put(image, 100);
	}

	private void step(int tailMillis, Map<String, Double> expectedRises) {
		this.nowNanos += Duration.ofMillis(400).toNanos();
		List<PaceController.ObservedRun> runs = new ArrayList<>();
		runs.add(new PaceController.ObservedRun(RunningTask.newBuilder().setLoad(tailMillis).build(),
				TaskTraits.newBuilder().setTailTarget(TARGET).build(), 100));
		this.paces.forEach((image,
				pace) -> runs.add(new PaceController.ObservedRun(
						RunningTask.newBuilder().setTask(TaskName.newBuilder().setJob(image)).setLoad(3_000).build(),
						TaskTraits.newBuilder()
							.setFiller(true)
							.setImage(image)
							.setPressure(expectedRises.getOrDefault(image, 0.0))
							.build(),
						pace)));
		this.controller.update(runs, this.nowNanos)
			.forEach((change) -> this.paces.put(change.run().traits().getImage(), change.pace()));
	}

	private void step(int tailMillis) {
		step(tailMillis, Map.of());
	}

	@Test
	void fillersStopWithinFourSecondsWhenAServiceMissesItsTarget() {
		addFiller("image");
		for (int step = 0; step < 10; step++) {
			step(700);
		}
		assertThat(this.paces).containsEntry("image", 0);
	}

	@Test
	void paceRisesStepByStepAfterTheServiceHasRecovered() {
		addFiller("image");
		step(150);
		int slowed = this.paces.get("image");
		assertThat(slowed).isBetween(10, 50);
		step(20);
		step(20);
		assertThat(this.paces.get("image")).isBetween(slowed + 1, 99);
		for (int step = 0; step < 30; step++) {
			step(20);
		}
		assertThat(this.paces).containsEntry("image", 100);
	}

	@Test
	void paceIsUnchangedBetweenTheThresholds() {
		addFiller("image");
		step(150);
		int slowed = this.paces.get("image");
		for (int step = 0; step < 20; step++) {
			step(75);
		}
		assertThat(this.paces).containsEntry("image", slowed);
	}

	@Test
	void heavyFillerIsSlowedDownBeforeLightOnes() {
		addFiller("light");
		addFiller("heavy");
		step(150, Map.of("light", 0.05, "heavy", 2.0));
		assertThat(this.paces.get("heavy")).isLessThan(50);
		assertThat(this.paces).containsEntry("light", 100);
	}

	/**
	 * The budget was reduced for a filler that has ended, so it says nothing about the
	 * one that follows.
	 */
	@Test
	void lightFillerIsNotSlowedForADemandingOneThatHasEnded() {
		addFiller("heavy");
		for (int step = 0; step < 6; step++) {
			step(300, Map.of("heavy", 2.0));
		}
		this.paces.remove("heavy");
		addFiller("light");
		step(40, Map.of("light", 0.1));
		assertThat(this.paces).containsEntry("light", 100);
	}

	/**
	 * The expected rise of the image is far too small.
	 */
	@Test
	void fillerThatRaisesThePressureFarMoreThanExpectedIsStoppedWithinFourSeconds() {
		addFiller("image");
		int missedSteps = 0;
		for (int step = 0; step < 20; step++) {
			double pressure = 0.6 + 8.0 * this.paces.get("image") / 100;
			missedSteps += (pressure > 1) ? 1 : 0;
			step((int) (pressure * TARGET), Map.of("image", 0.02));
		}
		// A step takes 0.4 s; a pace of 10 percent would still be too much.
		assertThat(missedSteps).isLessThan(10);
		assertThat(this.paces).containsEntry("image", 0);
	}

	/**
	 * The fillers stop in time even if the pressure does not depend on their paces.
	 */
	@Test
	void fillersStopWhenAServiceKeepsMissingItsTarget() {
		addFiller("first");
		addFiller("second");
		for (int step = 0; step < 8; step++) {
			step(105);
		}
		assertThat(this.paces.values()).containsOnly(0);
	}

	/**
	 * The load of the service varies by two thirds with a period of 20 s, the fillers
	 * raise the pressure by 1.5 times the expected rise, and reports lag by one step.
	 */
	@Test
	void serviceWithVaryingLoadDoesNotMissItsTargetForLong() {
		addFiller("light");
		addFiller("heavy");
		Map<String, Double> expected = Map.of("light", 0.1, "heavy", 0.8);
		double reported = 0.3;
		int consecutiveMisses = 0;
		int longestMiss = 0;
		int lightSteps = 0;
		int heavyProgress = 0;
		for (int step = 0; step < 300; step++) {
			double base = 0.3 + 0.2 * Math.sin(2 * Math.PI * step * 0.4 / 20);
			double pressure = base + 1.5 * (0.1 * this.paces.get("light") + 0.8 * this.paces.get("heavy")) / 100;
			consecutiveMisses = (pressure > 1) ? consecutiveMisses + 1 : 0;
			longestMiss = Math.max(longestMiss, consecutiveMisses);
			lightSteps += (this.paces.get("light") == 100) ? 1 : 0;
			heavyProgress += this.paces.get("heavy");
			step((int) (reported * TARGET), expected);
			reported = pressure;
		}
		// A step takes 0.4 s; a service may miss its target for 4 s.
		assertThat(longestMiss).isLessThanOrEqualTo(4);
		assertThat(lightSteps).isGreaterThan(270);
		assertThat(heavyProgress / 300).isBetween(20, 45);
	}

}
