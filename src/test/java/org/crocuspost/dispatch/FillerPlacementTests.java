package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests the placement of fillers under this load: long-running services reserve most of
 * the workers. Fillers arrive at a rate that needs half of the processor capacity, and
 * half of their images raise the pressure on services strongly.
 */
class FillerPlacementTests {

	private static final int WORKERS = 6;

	private final DispatchFixture fixture = new DispatchFixture();

	private void startWorkers() {
		for (int number = 0; number < WORKERS; number++) {
			this.fixture.worker("host-" + number, 32_000);
		}
	}

	private void trainPressureModel() {
		for (int report = 0; report < 20; report++) {
			this.fixture.imagePressure.observe("", 7, Map.of("heavy", 0.2));
			this.fixture.imagePressure.observe("", 0.35, Map.of("light", 0.2));
		}
	}

	@Test
	void packsServicesToLeaveWholeWorkersForHighPressureFillers() {
		trainPressureModel();
		startWorkers();
		this.fixture.submit("service", new StepBuilder().tasks(20).milliCores(6_400).service().build());
		this.fixture.runSchedulingRound();
		long free = this.fixture.workers.values().stream().filter((worker) -> worker.running.isEmpty()).count();
		assertThat(free).isEqualTo(2);
		this.fixture.submit("filler", new StepBuilder().tasks(12).milliCores(3_500).filler("heavy").build());
		this.fixture.runSchedulingRound();
		long mixed = this.fixture.workers.values()
			.stream()
			.filter(FillerPlacementTests::runsServicesAndFillers)
			.count();
		assertThat(mixed).isZero();
	}

	/**
	 * If all workers without services are in one failure domain, fillers that press hard
	 * on services have none while that domain is out of service.
	 */
	@Test
	void leavesWorkersWithoutServicesInEachFailureDomain() {
		for (int number = 0; number < 6; number++) {
			this.fixture.worker("host-" + number, 8_000, "domain-" + number / 2);
		}
		this.fixture.submit("service", new StepBuilder().tasks(3).milliCores(6_400).service().build());
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.workers.values()).filteredOn((worker) -> worker.running.isEmpty())
			.extracting((worker) -> worker.description.getFailureDomain())
			.containsExactlyInAnyOrder("domain-0", "domain-1", "domain-2");
	}

	private static boolean runsServicesAndFillers(SimulatedWorker worker) {
		boolean fillers = worker.executedOrders.stream().anyMatch((order) -> order.getTraits().getFiller());
		boolean services = worker.executedOrders.stream().anyMatch((order) -> order.getTraits().getTailTarget() > 0);
		return fillers && services;
	}

	@Test
	void placesOnlyOneFillerOfUnknownImageNextToService() {
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(2).milliCores(6_400).service().build());
		this.fixture.submit("filler", new StepBuilder().tasks(4).milliCores(3_500).filler("unknown").build());
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(3);
	}

	@Test
	void placesOnlyLowPressureFillersNextToService() {
		trainPressureModel();
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(2).milliCores(6_400).service().build());
		this.fixture.submit("heavy", new StepBuilder().tasks(4).milliCores(3_500).filler("heavy").build());
		this.fixture.submit("light", new StepBuilder().tasks(4).milliCores(3_500).filler("light").build());
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).filteredOn((order) -> order.getTraits().getImage().equals("heavy")).isEmpty();
		assertThat(worker.executedOrders).filteredOn((order) -> order.getTraits().getImage().equals("light"))
			.hasSize(4);
	}

	/**
	 * At the end of a day's load, services run on every worker, and a remaining job whose
	 * image raises the pressure strongly finds no suitable worker. It must start
	 * nevertheless.
	 */
	@Test
	void startsStarvingFillerOnUnsuitableWorker() {
		trainPressureModel();
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(3_200).service().build());
		this.fixture.submit("heavy", new StepBuilder().tasks(6).milliCores(3_500).filler("heavy").build());
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(1);
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(2);
	}

	@Test
	void keepsHighPressureFillerWaitingWithoutSpareCapacity() {
		trainPressureModel();
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(4).milliCores(6_400).service().build());
		this.fixture.submit("heavy", new StepBuilder().tasks(1).milliCores(3_500).filler("heavy").build());
		this.fixture.runSchedulingRound();
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(4);
	}

	@Test
	void stopsSlowFillerWithSpareCapacityOnlyIfAnotherWorkerIsFree() {
		SimulatedWorker serving = this.fixture.worker("serving", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(3_200).service().build());
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_500).filler("unknown").build());
		this.fixture.runSchedulingRound();
		serving.pace(this.fixture.task("filler", 0, 0).key(), 25);
		assertThat(this.fixture.report(serving).stops()).isEmpty();
		this.fixture.worker("free", 32_000);
		assertThat(this.fixture.report(serving).stops()).hasSize(1);
	}

	/**
	 * A filler that cannot resume stood still beside services for 16 s, having barely
	 * begun, while another worker was free.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 1", "20, 1", "60, 0" })
	void fillerWithoutCheckpointsMovesOnlyWhileItHasDoneLittle(int progress, int stops) {
		SimulatedWorker serving = this.fixture.worker("serving", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(3_200).service().build());
		this.fixture.submit("filler",
				new StepBuilder().tasks(1).milliCores(3_500).filler("unknown").withoutCheckpoints().build());
		this.fixture.runSchedulingRound();
		this.fixture.worker("free", 32_000);
		serving.pace(this.fixture.task("filler", 0, 0).key(), 0);
		serving.progress(this.fixture.task("filler", 0, 0).key(), progress);
		assertThat(this.fixture.report(serving).stops()).hasSize(stops);
	}

	/**
	 * If the leader expects that a worker tolerates a filler but the agent has to slow it
	 * down, the filler is stopped. Placed there again immediately, it went through twenty
	 * runs, each of which could fail.
	 */
	@Test
	void doesNotPlaceSlowFillerOnSameWorkerAgainImmediately() {
		SimulatedWorker serving = this.fixture.worker("serving", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(30_000).service().build());
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_500).filler("unknown").build());
		this.fixture.runSchedulingRound();
		TaskKey filler = this.fixture.task("filler", 0, 0).key();
		for (int step = 0; step < 25; step++) {
			if (serving.running.containsKey(filler)) {
				serving.pace(filler, 0);
			}
			this.fixture.report(serving);
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
			this.fixture.time.advance(Duration.ofMillis(100));
		}
		assertThat(this.fixture.task("filler", 0, 0).run()).isEqualTo(1);
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("filler", 0, 0).run()).isEqualTo(2);
	}

	/**
	 * A pace is a wrong one for a moment after each start; a run that is stopped for it
	 * has cost its start and done nothing.
	 */
	@Test
	void doesNotStopFillerThatIsSlowForAMoment() {
		SimulatedWorker serving = this.fixture.worker("serving", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(30_000).service().build());
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_500).filler("unknown").build());
		this.fixture.runSchedulingRound();
		TaskKey filler = this.fixture.task("filler", 0, 0).key();
		serving.pace(filler, 0);
		this.fixture.report(serving);
		this.fixture.time.advance(Duration.ofMillis(600));
		assertThat(this.fixture.report(serving).stops()).isEmpty();
		serving.pace(filler, 100);
		this.fixture.report(serving);
		serving.pace(filler, 30);
		this.fixture.time.advance(Duration.ofMillis(600));
		assertThat(this.fixture.report(serving).stops()).isEmpty();
		this.fixture.time.advance(Duration.ofMillis(1_100));
		assertThat(this.fixture.report(serving).stops()).hasSize(1);
	}

	/**
	 * An agent takes an expected pressure of 0 for an unknown one and slows the filler
	 * down.
	 */
	@Test
	void tellsTheAgentThatAKnownImageIsLight() {
		for (int report = 0; report < 20; report++) {
			this.fixture.imagePressure.observe("", 0.1, Map.of("idle", 0.2));
		}
		SimulatedWorker serving = this.fixture.worker("serving", 32_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(30_000).service().build());
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_500).filler("idle").build());
		this.fixture.submit("other", new StepBuilder().tasks(1).milliCores(3_500).filler("unknown").build());
		this.fixture.runSchedulingRound();
		assertThat(serving.executedOrders).filteredOn((order) -> order.getTraits().getImage().equals("idle"))
			.allMatch((order) -> order.getTraits().getPressure() > 0)
			.hasSize(1);
		assertThat(serving.executedOrders).filteredOn((order) -> order.getTraits().getImage().equals("unknown"))
			.allMatch((order) -> order.getTraits().getPressure() == 0);
	}

	/**
	 * An image that pressed hard on one service found no worker, although all others run
	 * a service on which it hardly presses.
	 */
	@Test
	void fillerRunsBesideServiceOnWhichItHardlyPresses() {
		for (int report = 0; report < 20; report++) {
			this.fixture.imagePressure.observe("sensitive", 5, Map.of("image", 0.1));
			this.fixture.imagePressure.observe("other", 0.3, Map.of("image", 0.1));
		}
		for (String service : List.of("sensitive", "other")) {
			this.fixture.worker("host-of-" + service, 32_000);
			this.fixture.submit(service,
					new StepBuilder().tasks(2).milliCores(12_000).image(service).service().build());
			this.fixture.runSchedulingRound();
		}
		this.fixture.submit("filler", new StepBuilder().tasks(4).milliCores(3_000).filler("image").build());
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.job("filler").tasks(0, 0)).extracting(TaskProgress::host).containsOnly("host-of-other");
	}

	/**
	 * An agent takes a filler whose expected pressure is unknown for a moderate one.
	 */
	@Test
	void agentIsToldOfHeavyImageThatIsUnknownBesideAnotherService() {
		for (int report = 0; report < 20; report++) {
			this.fixture.imagePressure.observe("sensitive", 5, Map.of("image", 0.1));
		}
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		for (String service : List.of("sensitive", "other")) {
			this.fixture.submit(service, new StepBuilder().tasks(1).milliCores(2_000).image(service).service().build());
		}
		this.fixture.runSchedulingRound();
		this.fixture.submit("filler", new StepBuilder().tasks(1).milliCores(3_000).filler("image").build());
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).filteredOn((order) -> order.getTraits().getFiller())
			.extracting((order) -> order.getTraits().getPressure())
			.allMatch((pressure) -> pressure > 1)
			.hasSize(1);
	}

	/**
	 * A service that has just started on a worker with fillers reports the time before
	 * its start at first.
	 */
	@Test
	void serviceThatHasJustStartedDoesNotMakeImageLight() {
		trainPressureModel();
		double before = this.fixture.imagePressure.expectedIncrease("heavy", "", 0.2).orElseThrow();
		SimulatedWorker worker = this.fixture.worker("host", 32_000);
		this.fixture.submit("heavy", new StepBuilder().tasks(4).milliCores(3_500).filler("heavy").build());
		this.fixture.runSchedulingRound();
		this.fixture.submit("service", new StepBuilder().tasks(2).milliCores(6_400).service().build());
		this.fixture.runSchedulingRound();
		for (TaskKey task : worker.running.keySet()) {
			worker.running.computeIfPresent(task,
					(key, run) -> run.toBuilder().setLoad(key.job().equals("heavy") ? 3_500 : 10).build());
		}
		for (int report = 0; report < 4; report++) {
			this.fixture.time.advance(Duration.ofMillis(200));
			this.fixture.report(worker);
		}
		assertThat(this.fixture.imagePressure.expectedIncrease("heavy", "", 0.2).orElseThrow()).isCloseTo(before,
				within(0.01));
	}

	@Test
	void placesLightFillersBesideServicesAndLeavesFreeWorkersToHeavyOnes() {
		trainPressureModel();
		startWorkers();
		this.fixture.submit("service", new StepBuilder().tasks(20).milliCores(6_400).service().build());
		this.fixture.runSchedulingRound();
		this.fixture.reportAll();
		this.fixture.submit("light", new StepBuilder().tasks(4).milliCores(3_500).filler("light").build());
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.workers.values()).filteredOn(
				(worker) -> worker.executedOrders.stream().noneMatch((order) -> order.getTraits().getTailTarget() > 0))
			.allMatch((worker) -> worker.running.isEmpty())
			.hasSize(2);
	}

	/**
	 * A gang that does not fit must not leave behind the pressure of its trial: no filler
	 * could be placed there any more.
	 */
	@Test
	void trialOfAGangThatDoesNotFitSetsAsideNoPressure() {
		trainPressureModel();
		this.fixture.worker("serving", 16_000);
		this.fixture.submit("service", new StepBuilder().tasks(1).milliCores(3_200).service().build());
		this.fixture.runSchedulingRound();
		this.fixture.submit("gang", new StepBuilder().tasks(20).milliCores(3_500).gang().filler("light").build());
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("gang", 0, 0).everAssigned()).isFalse();
		assertThat(this.fixture.dispatcher.host("serving").unreportedIncreases()).isEmpty();
	}

	@Test
	void nextLeaderKnowsTheImages() {
		trainPressureModel();
		ImagePressure next = new ImagePressure();
		next.restore(this.fixture.imagePressure.write());
		assertThat(next.expectedIncrease("heavy", "", 0.2).orElseThrow())
			.isCloseTo(this.fixture.imagePressure.expectedIncrease("heavy", "", 0.2).orElseThrow(), within(0.01));
		assertThat(next.expectedIncrease("never seen", "", 0.2)).isEmpty();
		assertThatIllegalArgumentException().isThrownBy(() -> next.restore("malformed"));
	}

	@Test
	void attributesPressureToImageWithHigherUse() {
		ImagePressure pressure = new ImagePressure();
		for (int report = 0; report < 30; report++) {
			pressure.observe("", 7, Map.of("heavy", 0.2));
			pressure.observe("", 7.2, Map.of("heavy", 0.2, "light", 0.1));
			pressure.observe("", 0.4, Map.of("light", 0.2));
		}
		assertThat(pressure.expectedIncrease("heavy", "", 0.2).orElseThrow()).isBetween(5.0, 8.0);
		assertThat(pressure.expectedIncrease("light", "", 0.2).orElseThrow()).isLessThan(0.8);
		assertThat(pressure.expectedIncrease("never seen", "", 0.2)).isEmpty();
	}

}
