package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.Set;

import org.crocuspost.bench.batch.BatchDeployment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BatchSchedulerTests {

	private final BatchDeployment deployment = Jobs.deployment(Duration.ofSeconds(30));

	@Test
	void everyTaskRunsOnceToItsEnd() {
		this.deployment.configuration().declare(Jobs.job("report", 200, Jobs.SMALL));
		this.deployment.advance(Duration.ofMinutes(3));
		RunJudge judge = new RunJudge(this.deployment).safe().completed("report", 200);
		assertThat(judge.runs("report")).isEqualTo(200);
	}

	@Test
	void withdrawnJobStops() {
		this.deployment.configuration().declare(Jobs.job("report", 200, Jobs.SMALL));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().withdraw(Set.of("report"));
		this.deployment.advance(Duration.ofSeconds(20));
		RunJudge judge = new RunJudge(this.deployment).safe();
		Jobs.DOMAINS.forEach((domain) -> assertThat(judge.runningIn(domain)).isZero());
	}

	@Test
	void jobThatIsDeclaredAgainRunsAgain() {
		this.deployment.configuration().declare(Jobs.job("report", 5, Jobs.SMALL));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().withdraw(Set.of("report"));
		this.deployment.advance(Duration.ofSeconds(20));
		this.deployment.configuration().declare(Jobs.job("report", 5, Jobs.SMALL));
		this.deployment.advance(Duration.ofMinutes(2));
		new RunJudge(this.deployment).safe().completed("report", 5);
	}

}
