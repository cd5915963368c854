package org.crocuspost.bench.policy;

import java.time.Duration;

import org.crocuspost.platform.worker.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class PolicyRunTests {

	private static final long SEED = 2;

	private final Deployment deployment = small();

	@ParameterizedTest
	@EnumSource(PolicyKind.class)
	void everyPolicyKeepsTheInvariants(PolicyKind kind) {
		RunResult result = run(kind);
		assertThat(result.violations()).isZero();
		assertThat(result.coreSeconds() > 0).isEqualTo(kind != PolicyKind.BATCH_FREE);
	}

	@Test
	void sameSeedGivesTheSameResult() {
		assertThat(run(PolicyKind.LEARNED)).isEqualTo(run(PolicyKind.LEARNED));
	}

	@Test
	void learnedPolicyReducesTheTailLatencyCausedByBatchWork() {
		RunResult withoutBatchWork = run(PolicyKind.BATCH_FREE);
		RunResult withBatchWork = run(PolicyKind.NO_CONTROL);
		assertThat(withBatchWork.tailMilliseconds()).isGreaterThan(withoutBatchWork.tailMilliseconds());
		assertThat(run(PolicyKind.LEARNED).tailMilliseconds()).isLessThan(withBatchWork.tailMilliseconds());
	}

	@Test
	void tasksInADomainTakenOutOfServiceAreEvicted() {
		assertThat(run(PolicyKind.NO_CONTROL).domainEvictions()).isPositive();
	}

	private RunResult run(PolicyKind kind) {
		return new PolicyRun(this.deployment, kind, InterferenceFunction.LINEAR, SEED).run();
	}

	private static Deployment small() {
		Deployment sappaya = Deployment.sappaya();
		return new Deployment("small", sappaya.domains(), 9, 6, 3, new Resources(32_000, 125_000, 0),
				sappaya.services(), sappaya.loadProfile(), Duration.ofMinutes(10), 2, sappaya.batchDemand(),
				sappaya.weights());
	}

}
