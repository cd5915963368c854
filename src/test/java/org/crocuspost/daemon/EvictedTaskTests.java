package org.crocuspost.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.bench.batch.VirtualWorker;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.configuration.JobSpecification.Spread;
import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.interference.EffectPriors;
import org.crocuspost.interference.InterferenceController;
import org.crocuspost.interference.InterferenceMessages;
import org.crocuspost.interference.InterferenceSettings;
import org.crocuspost.interference.RunningAttemptsAdapter;
import org.crocuspost.interference.ServiceLatencyWindow;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;
import org.crocuspost.standin.worker.RunRecord;
import org.crocuspost.standin.worker.TaskBehavior;
import org.crocuspost.wire.WorkerReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evicted tasks that cannot resume: the effect of their job on the service
 * of the workers is still unknown, and placement tries an unknown pair of job and service
 * on only a few workers at once.
 */
class EvictedTaskTests {

	private static final List<String> DOMAINS = List.of("north", "south", "west");

	private static final int WORKERS_PER_DOMAIN = 3;

	private static final Resources WORKER = new Resources(8000, 16_000, 0);

	private static final Resources SMALL = new Resources(1000, 1000, 0);

	private static final String SERVICE = "wallet";

	private static final ServiceObjective OBJECTIVE = new ServiceObjective(Duration.ofMillis(200), 0.99, 0.999);

	private static final Duration LATENCY = Duration.ofMillis(12);

	private static final int REQUESTS_PER_SECOND = 20;

	private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

	private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(10);

	private final Map<String, InterferenceController> controllers = new HashMap<>();

	private BatchDeployment deployment;

	private SchedulerInterference interference;

	private boolean requestsArrive;

	@BeforeEach
	void startDeployment() {
		this.deployment = new BatchDeployment(DOMAINS,
				(start) -> new TaskBehavior(Duration.ofMinutes(10), start.resources(), false),
				new DefaultPlacementPolicy((job, worker) -> this.interference.cost(job, worker)));
		this.interference = new SchedulerInterference(this.deployment.configuration(), this.deployment.time());
		DOMAINS.forEach((domain) -> this.deployment.addWorkers(domain, WORKERS_PER_DOMAIN, WORKER));
		this.deployment.workers().forEach(this::startControl);
		this.deployment.startScheduler("one");
		this.deployment.scheduler("one").scheduler().addReportListener(this::addInterferenceData);
		this.deployment.advance(SETTLING_TIME);
	}

	private void startControl(VirtualWorker worker) {
		ServiceLatencyWindow window = new ServiceLatencyWindow(this.deployment.time());
		RunningAttemptsAdapter attempts = new RunningAttemptsAdapter(worker.agent());
		InterferenceController controller = new InterferenceController(InterferenceSettings.DEFAULT,
				this.deployment.time(), worker.capacity(), window, EffectPriors.NONE, attempts, attempts, attempts);
		this.controllers.put(worker.name(), controller);
		this.deployment.time()
			.repeat(InterferenceSettings.DEFAULT.interval(), () -> control(worker.domain(), controller, window));
	}

	private void control(String domain, InterferenceController controller, ServiceLatencyWindow window) {
		if (this.deployment.configuration().current().domainsOut().contains(domain)) {
			controller.liftThrottles();
			return;
		}
		for (int request = 0; this.requestsArrive && request < REQUESTS_PER_SECOND; request++) {
			window.record(LATENCY);
		}
		controller.control(SERVICE, OBJECTIVE);
	}

	private void addInterferenceData(WorkerReport report) {
		WorkerReport.Builder completed = report.toBuilder();
		InterferenceMessages.addInterferenceData(this.controllers.get(report.getWorker()), SERVICE, completed);
		this.interference.reportReceived(completed.build());
	}

	@Test
	void tasksOfADomainTakenOutOfServiceResumeBesideTasksOfTheSameJob() {
		start(job(18, SMALL, Spread.NONE));
		assertThat(running()).hasSize(18).anyMatch((run) -> domain(run).equals("south"));
		this.deployment.configuration().takeOutOfService("south");
		this.deployment.advance(RESUME_TIMEOUT);
		assertThat(running()).hasSize(18).noneMatch((run) -> domain(run).equals("south"));
	}

	@Test
	void taskOfADomainTakenOutOfServiceResumesOnAWorkerThatHasNotRunTheJob() {
		start(job(2, WORKER, Spread.RACK));
		assertThat(running()).hasSize(2);
		String domainOut = domain(running().get(0));
		this.deployment.configuration().takeOutOfService(domainOut);
		this.deployment.advance(RESUME_TIMEOUT);
		assertThat(running()).hasSize(2).noneMatch((run) -> domain(run).equals(domainOut));
	}

	private void start(JobSpecification job) {
		this.deployment.configuration().declare(job);
		this.deployment.advance(Duration.ofSeconds(1));
		this.requestsArrive = true;
		this.deployment.advance(SETTLING_TIME);
	}

	private static JobSpecification job(int count, Resources size, Spread spread) {
		return new JobSpecification("statements", "team", count, size, Duration.ofMinutes(10), 5, false, true,
				Optional.empty(), spread);
	}

	private List<RunRecord> running() {
		return this.deployment.history().stream().filter((run) -> run.phase() == Phase.RUNNING).toList();
	}

	private String domain(RunRecord run) {
		return this.deployment.worker(run.worker()).domain();
	}

}
