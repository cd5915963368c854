package org.crocuspost.bench.policy;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InvariantCheckTests {

	private final BenchWorker first = worker(0);

	private final BenchWorker second = worker(1);

	private final BenchTask task = new BenchTask("task",
			new JobGenerator(new SplittableRandom(1), Deployment.mela().capacity()).generate().get(0), 0, 10);

	private final InvariantCheck check = new InvariantCheck();

	@Test
	void taskOnTwoWorkersIsCounted() {
		this.task.start(this.first, Resources.NONE);
		this.first.tasks().add(this.task);
		this.second.tasks().add(this.task);
		assertThat(violations(false)).isPositive();
	}

	@Test
	void reservationsAboveTheBatchCapacityAreCounted() {
		this.task.start(this.first, new Resources(17_000, 1, 0));
		this.first.tasks().add(this.task);
		assertThat(violations(false)).isEqualTo(1);
	}

	@Test
	void taskInADomainOutOfServiceIsCounted() {
		this.task.start(this.first, Resources.NONE);
		this.first.tasks().add(this.task);
		assertThat(violations(false)).isZero();
		assertThat(violations(true)).isEqualTo(1);
	}

	private int violations(boolean domainOut) {
		this.check.check(List.of(this.first, this.second), (domain) -> domainOut);
		return this.check.violations();
	}

	private static BenchWorker worker(int index) {
		return new BenchWorker(index, Deployment.mela(), Optional.empty(), new VirtualTime(Instant.EPOCH));
	}

}
