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
 * Faults one by one and in pairs, judged from the worker runtimes' own records.
 */
class FaultTableTests {

	private static final int TASKS = 400;

	private static final Duration RUN_TIME = Duration.ofSeconds(45);

	private static final Duration CHECKPOINT_INTERVAL = Duration.ofMinutes(1);

	private static final Duration LONG_ENOUGH = Duration.ofMinutes(45);

	@ParameterizedTest
	@EnumSource
	void everyTaskCompletesOnceDespite(Fault fault) {
		BatchDeployment deployment = loaded();
		fault.inject(deployment);
		deployment.advance(LONG_ENOUGH);
		judge(deployment, fault.hidesResults() ? Fault.UNREACHABLE : Set.of());
	}

	@Property(tries = 25, seed = "20260101", shrinking = ShrinkingMode.OFF)
	void everyTaskCompletesOnceDespiteTwo(@ForAll Fault first, @ForAll Fault second,
			@ForAll @IntRange(max = 40_000) int milliseconds) {
		BatchDeployment deployment = loaded();
		first.inject(deployment);
		deployment.advance(Duration.ofMillis(milliseconds));
		second.inject(deployment);
		deployment.advance(LONG_ENOUGH);
		boolean hidden = first.hidesResults() || second.hidesResults();
		judge(deployment, hidden ? Fault.UNREACHABLE : Set.of());
	}

	private static BatchDeployment loaded() {
		BatchDeployment deployment = Jobs.deployment(RUN_TIME);
		deployment.configuration().declare(Jobs.job("report", TASKS, Jobs.SMALL));
		deployment.advance(Duration.ofSeconds(75));
		return deployment;
	}

	private static void judge(BatchDeployment deployment, Set<String> unreachable) {
		new RunJudge(deployment).atMostOneRunner()
			.neverOverCapacity()
			.completesAtMostOnce(unreachable)
			.completed("report", TASKS)
			.losesAtMost(CHECKPOINT_INTERVAL);
	}

}
