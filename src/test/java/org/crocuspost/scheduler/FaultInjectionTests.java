package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.crocuspost.bench.batch.BatchDeployment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Injects faults one by one and in pairs, and checks the run records of the worker
 * runtimes.
 */
class FaultInjectionTests {

	private static final int TASKS = 400;

	private static final Duration RUN_TIME = Duration.ofSeconds(45);

	private static final Duration CHECKPOINT_INTERVAL = Duration.ofMinutes(1);

	private static final Duration OBSERVATION_TIME = Duration.ofMinutes(45);

	@ParameterizedTest
	@EnumSource
	void everyTaskCompletesOnceDespiteOneFault(Fault fault) {
		BatchDeployment deployment = loadedDeployment();
		fault.inject(deployment);
		deployment.advance(OBSERVATION_TIME);
		assertCorrect(deployment, fault.hidesResults() ? Fault.UNREACHABLE_WORKERS : Set.of());
	}

	@Property(tries = 25, seed = "20260101", shrinking = ShrinkingMode.OFF)
	void everyTaskCompletesOnceDespiteTwoFaults(@ForAll Fault first, @ForAll Fault second,
			@ForAll @IntRange(max = 40_000) int milliseconds) {
		BatchDeployment deployment = loadedDeployment();
		first.inject(deployment);
		deployment.advance(Duration.ofMillis(milliseconds));
		second.inject(deployment);
		deployment.advance(OBSERVATION_TIME);
		boolean resultsHidden = first.hidesResults() || second.hidesResults();
		assertCorrect(deployment, resultsHidden ? Fault.UNREACHABLE_WORKERS : Set.of());
	}

	private static BatchDeployment loadedDeployment() {
		BatchDeployment deployment = SchedulerFixtures.deployment(RUN_TIME);
		deployment.configuration().declare(SchedulerFixtures.job("report", TASKS, SchedulerFixtures.SMALL));
		deployment.advance(Duration.ofSeconds(75));
		return deployment;
	}

	private static void assertCorrect(BatchDeployment deployment, Set<String> unreachableWorkers) {
		new RunAssertions(deployment).neverRunsTwiceAtOnce()
			.neverExceedsCapacity()
			.completesAtMostOnce(unreachableWorkers)
			.hasCompleted("report", TASKS)
			.losesAtMost(CHECKPOINT_INTERVAL);
	}

}
