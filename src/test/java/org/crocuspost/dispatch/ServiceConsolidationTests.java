package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Map;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.TaskStatus;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that services are moved together when fillers have no worker without services.
 */
class ServiceConsolidationTests {

	private static final Duration ROUND = Duration.ofMillis(200);

	private final DispatchFixture fixture = new DispatchFixture();

	private void play(Duration duration) {
		for (long round = 0; round < duration.dividedBy(ROUND); round++) {
			this.fixture.time.advance(ROUND);
			this.fixture.workers.values().forEach(ServiceConsolidationTests::advance);
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
		}
	}

	// A batch run without progress is considered stalled and its worker faulty.
	private static void advance(SimulatedWorker worker) {
		worker.running.forEach((task, run) -> {
			if (!task.job().startsWith("service")) {
				worker.progress(task, run.getProgress() + 1);
			}
		});
	}

	private void playUntilWorkerIsVacated() {
		for (int round = 0; round < 20 && !this.fixture.hostAssessments.contains("vacated"); round++) {
			play(ROUND);
		}
		assertThat(this.fixture.hostAssessments).contains("vacated");
	}

	private void trainPressureModel() {
		for (int report = 0; report < 20; report++) {
			this.fixture.imagePressure.observe("", 7, Map.of("heavy", 0.2));
		}
	}

	/**
	 * Starts one service on each of three workers, which have room for three.
	 */
	private void scatterServices(int unavailableLimit) {
		trainPressureModel();
		for (int number = 0; number < 3; number++) {
			this.fixture.worker("host-" + number, 32_000);
			this.fixture.submit("service-" + number,
					new StepBuilder().milliCores(10_000).service().unavailableLimit(unavailableLimit).build());
			this.fixture.submit("blocker-" + number, DispatchFixture.step(1, 16_000));
			this.fixture.runSchedulingRound();
		}
		play(Duration.ofSeconds(6));
		this.fixture.workers.values().forEach((worker) -> endBlocker(worker));
		play(ROUND);
	}

	private static void endBlocker(SimulatedWorker worker) {
		worker.running.keySet()
			.stream()
			.filter((task) -> task.job().startsWith("blocker"))
			.toList()
			.forEach((task) -> worker.end(task, "done"));
	}

	private long workersWithFillersAlone() {
		return this.fixture.workers.values()
			.stream()
			.filter((worker) -> !worker.running.isEmpty()
					&& worker.running.keySet().stream().allMatch((task) -> task.job().startsWith("filler")))
			.count();
	}

	private long workersWithServices() {
		return this.fixture.workers.values().stream().filter(ServiceConsolidationTests::runsService).count();
	}

	private static boolean runsService(SimulatedWorker worker) {
		return worker.running.keySet().stream().anyMatch((task) -> task.job().startsWith("service"));
	}

	@Test
	void fillersThatPressOnServicesGetWorkerWhenEachRunsOne() {
		scatterServices(-1);
		assertThat(workersWithServices()).isEqualTo(3);
		this.fixture.submit("filler", new StepBuilder().tasks(6).milliCores(3_500).filler("heavy").build());
		play(Duration.ofSeconds(8));
		assertThat(workersWithFillersAlone()).isGreaterThanOrEqualTo(1);
		for (int number = 0; number < 3; number++) {
			assertThat(this.fixture.task("service-" + number, 0, 0).status()).isEqualTo(TaskStatus.PLACED);
		}
	}

	@Test
	void hostThatWasCutOffWhileItsServicesWereToMoveKeepsThem() {
		scatterServices(-1);
		this.fixture.submit("filler", new StepBuilder().tasks(6).milliCores(3_500).filler("heavy").build());
		for (int round = 0; round < 10 && !this.fixture.hostAssessments.contains("vacated"); round++) {
			this.fixture.time.advance(ROUND);
			this.fixture.runSchedulingRound();
		}
		assertThat(this.fixture.hostAssessments).contains("vacated");
		this.fixture.time.advance(DispatchSettings.MINIMUM_TIME_BETWEEN_MOVES);
		this.fixture.reportAll();
		assertThat(workersWithServices()).isEqualTo(3);
	}

	@Test
	void servicesStayWhereTheyAreWhileNoFillerWaits() {
		scatterServices(-1);
		play(Duration.ofSeconds(8));
		assertThat(workersWithServices()).isEqualTo(3);
	}

	@Test
	void servicesWhoseAbsenceIsLimitedStayWhereTheyAre() {
		scatterServices(1);
		this.fixture.submit("filler", new StepBuilder().tasks(6).milliCores(3_500).filler("heavy").build());
		play(Duration.ofSeconds(8));
		assertThat(workersWithServices()).isEqualTo(3);
	}

	@Test
	void servicesThatFitNowhereElseStayWhereTheyAre() {
		trainPressureModel();
		this.fixture.worker("first", 32_000);
		this.fixture.worker("second", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(2).milliCores(20_000).service().build());
		this.fixture.runSchedulingRound();
		play(Duration.ofSeconds(6));
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_500).filler("heavy").build());
		play(Duration.ofSeconds(8));
		assertThat(this.fixture.workers.values()).allMatch(ServiceConsolidationTests::runsService);
		assertThat(this.fixture.task("service", 0, 0).run()).isEqualTo(1);
	}

	/**
	 * Fourteen full workers with room for one more task each, which short jobs take, and
	 * six free workers. A service with 14 tasks, at most two per worker, takes two rests
	 * and all free workers; then the short jobs end. The unreserved cores would make six
	 * workers.
	 */
	private void scatterServiceOverFreeWorkers() {
		trainPressureModel();
		for (int number = 0; number < 14; number++) {
			this.fixture.worker("full-" + number, 16_000);
			this.fixture.submit("service-" + number, new StepBuilder().tasks(4).milliCores(3_200).service().build());
			if (number >= 2) {
				this.fixture.submit("blocker-" + number, DispatchFixture.step(1, 3_200));
			}
			this.fixture.runSchedulingRound();
		}
		for (int number = 0; number < 6; number++) {
			this.fixture.worker("free-" + number, 16_000);
		}
		this.fixture.submit("service", new StepBuilder().tasks(14).perWorker(2).milliCores(3_200).service().build());
		this.fixture.runSchedulingRound();
		assertThat(workersWithServices()).isEqualTo(20);
		play(Duration.ofSeconds(6));
		this.fixture.workers.values().forEach(ServiceConsolidationTests::endBlocker);
		play(ROUND);
	}

	/**
	 * Six workers were free before the service came, and none after it. The fillers have
	 * an objective of 3 s, so the workers must be free again by then.
	 */
	@Test
	void workersTakenByOneServiceAreFreedWithinObjectiveOfFillers() {
		scatterServiceOverFreeWorkers();
		this.fixture.submit("filler", new StepBuilder().tasks(48).milliCores(2_000).filler("heavy").build());
		play(Duration.ofSeconds(3));
		assertThat(workersWithServices()).isEqualTo(14);
		assertThat(this.fixture.job("service").tasks(0, 0)).allMatch((task) -> task.status() == TaskStatus.PLACED);
	}

	/**
	 * A limit of four moved tasks left fillers without any worker on fleets whose full
	 * workers run five tasks of services.
	 */
	@Test
	void workerWithFiveTasksIsFreed() {
		trainPressureModel();
		for (int number = 0; number < 6; number++) {
			this.fixture.worker("host-" + number, 16_000);
			this.fixture.submit("service-" + number, new StepBuilder().tasks(5).milliCores(2_600).service().build());
			this.fixture.submit("blocker-" + number, DispatchFixture.step(1, 3_000));
			this.fixture.runSchedulingRound();
		}
		play(Duration.ofSeconds(6));
		this.fixture.workers.values().forEach(ServiceConsolidationTests::endBlocker);
		this.fixture.submit("filler", new StepBuilder().tasks(8).milliCores(2_000).filler("heavy").build());
		play(Duration.ofSeconds(3));
		assertThat(workersWithServices()).isEqualTo(5);
	}

	/**
	 * Twenty workers are full but for one core. A service with 26 tasks, at most two per
	 * worker, has taken all 13 free workers, and its tasks fit on no other. The
	 * unreserved cores would make eight workers. Attempts gave up after eight workers of
	 * that service and freed none of the others.
	 */
	@Test
	void workersAreFreedWhileServiceOnManyWorkersFitsNowhereElse() {
		trainPressureModel();
		for (int number = 0; number < 20; number++) {
			this.fixture.worker("full-" + number, 32_000);
			this.fixture.submit("service-" + number, new StepBuilder().tasks(5).milliCores(6_200).service().build());
			this.fixture.runSchedulingRound();
		}
		for (int number = 0; number < 13; number++) {
			this.fixture.worker("free-" + number, 32_000);
		}
		this.fixture.submit("service", new StepBuilder().tasks(26).perWorker(2).milliCores(6_000).service().build());
		this.fixture.runSchedulingRound();
		assertThat(workersWithServices()).isEqualTo(33);
		play(Duration.ofSeconds(6));
		this.fixture.submit("filler", new StepBuilder().tasks(72).milliCores(3_500).filler("heavy").build());
		play(Duration.ofSeconds(10));
		assertThat(workersWithServices()).isLessThanOrEqualTo(33 - 6);
		assertThat(this.fixture.workers.values().stream().mapToLong(ServiceConsolidationTests::reservedTasks).sum())
			.isEqualTo(20 * 5 + 26);
	}

	/**
	 * Short jobs took the room that was found for a moved service, and it returned to the
	 * worker that it had left.
	 */
	@Test
	void shortTasksDoNotTakeRoomOfMovedService() {
		scatterServices(-1);
		this.fixture.submit("filler", new StepBuilder().tasks(6).milliCores(3_500).filler("heavy").build());
		playUntilWorkerIsVacated();
		this.fixture.submit("short", DispatchFixture.step(3, 13_000));
		this.fixture.runSchedulingRound();
		play(Duration.ofSeconds(3));
		assertThat(workersWithServices()).isEqualTo(2);
	}

	/**
	 * The next leader knows nothing of the moves under way. Each task must still run
	 * once, and no worker may get more than its capacity.
	 */
	@Test
	void leaderReplacedWhileServicesAreMovedLosesNone() {
		scatterServiceOverFreeWorkers();
		this.fixture.submit("filler", new StepBuilder().tasks(48).milliCores(2_000).filler("heavy").build());
		playUntilWorkerIsVacated();
		this.fixture.report(this.fixture.workers.get("free-0"));
		this.fixture.takeOver();
		for (int round = 0; round < 40; round++) {
			play(ROUND);
			assertThat(this.fixture.workers.values()).allMatch((worker) -> reservedTasks(worker) <= 5);
		}
		assertThat(this.fixture.workers.values().stream().mapToLong(ServiceConsolidationTests::reservedTasks).sum())
			.isEqualTo(14 * 4 + 14);
		assertThat(this.fixture.job("service").tasks(0, 0)).allMatch((task) -> task.status() == TaskStatus.PLACED);
	}

	/**
	 * A worker that is lost while its tasks are moved must not take a second attempt's
	 * moves with it: its tasks start elsewhere after the lease.
	 */
	@Test
	void hostLostWhileServicesAreMovedKeepsNoTask() {
		scatterServiceOverFreeWorkers();
		this.fixture.submit("filler", new StepBuilder().tasks(48).milliCores(2_000).filler("heavy").build());
		playUntilWorkerIsVacated();
		SimulatedWorker lost = this.fixture.workers.remove("free-0");
		this.fixture.reports.connected(lost.host, false);
		for (int round = 0; round < 60; round++) {
			play(ROUND);
			this.fixture.reports.expireLeases(Duration.ofSeconds(7), 0);
			assertThat(this.fixture.workers.values()).allMatch((worker) -> reservedTasks(worker) <= 5);
		}
		assertThat(this.fixture.workers.values().stream().mapToLong(ServiceConsolidationTests::reservedTasks).sum())
			.isEqualTo(14 * 4 + 14);
	}

	private static long reservedTasks(SimulatedWorker worker) {
		return worker.running.keySet().stream().filter((task) -> task.job().startsWith("service")).count();
	}

}
