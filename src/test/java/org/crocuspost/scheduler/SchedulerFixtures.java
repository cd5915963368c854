package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.standin.worker.TaskBehavior;

/**
 * Creates jobs and deployments for tests.
 */
final class SchedulerFixtures {

	static final Resources SMALL = new Resources(1000, 1000, 0);

	static final Resources WORKER = new Resources(8000, 16000, 0);

	static final List<String> DOMAINS = List.of("north", "south", "west");

	private SchedulerFixtures() {
	}

	static JobSpecification job(String name, int count, Resources size) {
		return new JobSpecification(name, "team", count, size, Duration.ofSeconds(30), 5, false, true, Optional.empty(),
				JobSpecification.Spread.NONE);
	}

	static JobSpecification urgent(String name, int count, Resources size) {
		return new JobSpecification(name, "team", count, size, Duration.ofSeconds(30), 0, true, true, Optional.empty(),
				JobSpecification.Spread.NONE);
	}

	/**
	 * Creates a deployment with three failure domains of three workers each, two
	 * schedulers, and tasks that use the small size for the given time.
	 */
	static BatchDeployment deployment(Duration runTime) {
		BatchDeployment deployment = new BatchDeployment(DOMAINS, (start) -> new TaskBehavior(runTime, SMALL, false));
		DOMAINS.forEach((domain) -> deployment.addWorkers(domain, 3, WORKER));
		deployment.startScheduler("one");
		deployment.startScheduler("two");
		return deployment;
	}

}
