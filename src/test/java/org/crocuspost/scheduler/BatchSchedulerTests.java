package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Set;

import org.crocuspost.bench.batch.BatchDeployment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BatchSchedulerTests {

	private final BatchDeployment deployment = SchedulerFixtures.deployment(Duration.ofSeconds(30));

	@Test
	void everyTaskCompletesInOneRun() {
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 200, SchedulerFixtures.SMALL));
		this.deployment.advance(Duration.ofMinutes(3));
		RunAssertions assertions = new RunAssertions(this.deployment).isSafe().hasCompleted("report", 200);
		assertThat(assertions.runs("report")).isEqualTo(200);
	}

	@Test
	void tasksOfWithdrawnJobStop() {
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 200, SchedulerFixtures.SMALL));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().withdraw(Set.of("report"));
		this.deployment.advance(Duration.ofSeconds(20));
		RunAssertions assertions = new RunAssertions(this.deployment).isSafe();
		SchedulerFixtures.DOMAINS.forEach((domain) -> assertThat(assertions.runningIn(domain)).isZero());
	}

	@Test
	void jobThatIsDeclaredAgainRunsAgain() {
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 5, SchedulerFixtures.SMALL));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().withdraw(Set.of("report"));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 5, SchedulerFixtures.SMALL));
		this.deployment.advance(Duration.ofMinutes(2));
		new RunAssertions(this.deployment).isSafe().hasCompleted("report", 5);
	}

}
