package org.crocuspost.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.TaskTraits;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fillers yield to a service well within the seconds for which it may miss its target.
 */
class PaceControllerTests {

	private static final int TARGET = 100;

	private final PaceController controller = new PaceController(PaceSettings.DEFAULT);

	private int pace = 100;

	private long nowNanos;

	private void step(int tailMillis) {
		this.nowNanos += Duration.ofMillis(400).toNanos();
		List<PaceController.ObservedRun> runs = new ArrayList<>();
		runs.add(new PaceController.ObservedRun(RunningTask.newBuilder().setLoad(tailMillis).build(),
				TaskTraits.newBuilder().setTailTarget(TARGET).build(), 100));
		runs.add(new PaceController.ObservedRun(RunningTask.newBuilder().setLoad(3_000).build(),
				TaskTraits.newBuilder().setFiller(true).build(), this.pace));
		this.controller.decide(runs, this.nowNanos).forEach((change) -> this.pace = change.pace());
	}

	@Test
	void aServiceThatMissesItsTargetStopsTheFillersWithinFourSeconds() {
		for (int step = 0; step < 10; step++) {
			step(700);
		}
		assertThat(this.pace).isZero();
	}

	@Test
	void fillersGoOnStepByStepOnceTheServiceHasRecovered() {
		step(700);
		int slowed = this.pace;
		assertThat(slowed).isEqualTo(50);
		step(20);
		step(20);
		assertThat(this.pace).isBetween(slowed + 1, 99);
		for (int step = 0; step < 30; step++) {
			step(20);
		}
		assertThat(this.pace).isEqualTo(100);
	}

	@Test
	void thePaceIsKeptBetweenTheThresholds() {
		step(700);
		int slowed = this.pace;
		for (int step = 0; step < 20; step++) {
			step(75);
		}
		assertThat(this.pace).isEqualTo(slowed);
	}

}
