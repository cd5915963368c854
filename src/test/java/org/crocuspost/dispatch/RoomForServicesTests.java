package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that interrupted long-running tasks start again in a full fleet, and what that
 * costs the batch work.
 */
class RoomForServicesTests {

	private static final Duration ROUND = Duration.ofMillis(200);

	/**
	 * Time within which a lost long-running task must be started again, according to the
	 * documentation of the platform.
	 */
	private static final Duration RESTART_LIMIT = Duration.ofSeconds(3);

	private static final Duration BATCH_RUN_TIME = Duration.ofSeconds(50);

	private final DispatchFixture fixture = new DispatchFixture();

	private final Map<TaskKey, Duration> elapsed = new HashMap<>();

	private final Map<TaskKey, Duration> runTimes = new HashMap<>();

	private final Set<String> silent = new HashSet<>();

	private void play(Duration duration) {
		for (long round = 0; round < duration.dividedBy(ROUND); round++) {
			playRound();
		}
	}

	private void playRound() {
		this.fixture.time.advance(ROUND);
		for (SimulatedWorker worker : this.fixture.workers.values()) {
			if (this.silent.contains(worker.host)) {
				continue;
			}
			for (TaskKey task : List.copyOf(worker.running.keySet())) {
				Duration run = this.elapsed.merge(task, ROUND, Duration::plus);
				if (task.job().startsWith("batch")) {
					Duration runTime = this.runTimes.getOrDefault(task, BATCH_RUN_TIME);
					worker.progress(task, (int) Math.min(97, 100 * run.toMillis() / runTime.toMillis()));
				}
			}
			this.fixture.report(worker);
		}
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		this.fixture.runSchedulingRound();
	}

	/**
	 * Starts three services of four cores on one worker of 16 cores and fills it and five
	 * others with batch tasks of two cores, with a backlog of as many.
	 */
	private void fillFleet() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().tasks(3).milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		for (int host = 0; host < 5; host++) {
			this.fixture.worker("host" + host, 16_000);
		}
		for (int job = 0; job < 20; job++) {
			this.fixture.submit("batch" + job, DispatchFixture.step(4, 2_000));
		}
		play(Duration.ofSeconds(2));
	}

	/**
	 * Lets a worker fall silent and plays until its runs are declared lost.
	 */
	private void lose(String host) {
		this.silent.add(host);
		int known = this.fixture.lostRuns.size();
		while (this.fixture.lostRuns.size() == known) {
			playRound();
		}
	}

	private boolean runs(TaskProgress task) {
		return this.fixture.workers.values()
			.stream()
			.anyMatch((worker) -> !this.silent.contains(worker.host) && worker.running.containsKey(task.key()));
	}

	private long stoppedRuns() {
		return this.fixture.workers.values()
			.stream()
			.flatMap((worker) -> worker.ended.stream())
			.filter((ended) -> ended.getKind().equals("stopped"))
			.count();
	}

	private void assertServicesRun(String job, int step) {
		assertThat(this.fixture.job(job).tasks(0, step)).allMatch(this::runs);
	}

	/**
	 * Guards against long-running tasks that stay down while batch tasks start and end on
	 * the workers that are left.
	 */
	@Test
	void interruptedServicesStartAgainInAFullFleet() {
		fillFleet();
		lose("first");
		play(RESTART_LIMIT);
		assertServicesRun("service", 0);
	}

	/**
	 * Guards against more stops than the services need, and against stops that count as
	 * failures of the batch tasks.
	 */
	@Test
	void stopsNoMoreRunsThanTheServicesNeed() {
		fillFleet();
		lose("first");
		play(RESTART_LIMIT);
		assertThat(stoppedRuns()).isEqualTo(6);
		for (int job = 0; job < 20; job++) {
			assertThat(this.fixture.job("batch" + job).allTasks()).allMatch((task) -> task.failures() == 0);
		}
		play(Duration.ofSeconds(10));
		assertThat(stoppedRuns()).isEqualTo(6);
	}

	/**
	 * Guards against a worker on which most of the stopped work is discarded although
	 * another holds runs that have just begun.
	 */
	@Test
	void stopsRunsThatHaveDoneLittle() {
		fillFleet();
		SimulatedWorker worker = this.fixture.workers.get("host3");
		worker.endAll("done");
		this.silent.add("first");
		play(Duration.ofSeconds(4));
		assertThat(worker.running).hasSize(8);
		lose("first");
		play(RESTART_LIMIT);
		assertServicesRun("service", 0);
		assertThat(worker.running.keySet()).filteredOn((task) -> task.job().equals("service")).hasSize(3);
	}

	/**
	 * Guards against discarded work although other runs can resume from a checkpoint.
	 */
	@Test
	void stopsRunsThatCanResume() {
		fillFleet();
		SimulatedWorker worker = this.fixture.workers.get("host2");
		this.fixture.submit("batch-resumable",
				new StepBuilder().tasks(8).milliCores(2_000).checkpointing().label("resumable").build());
		worker.description = worker.description.toBuilder().addLabels("resumable").build();
		worker.endAll("done");
		for (int job = 0; job < 20; job++) {
			if (this.fixture.job("batch" + job).allTasks().stream().noneMatch(this::runs)) {
				this.fixture.dispatcher.cancelled("batch" + job);
			}
		}
		play(Duration.ofSeconds(20));
		// Six of them use the twelve cores that the services need.
		assertThat(worker.running.keySet()).filteredOn((task) -> task.job().equals("batch-resumable")).hasSize(6);
		lose("first");
		play(RESTART_LIMIT);
		assertServicesRun("service", 0);
		assertThat(worker.running.keySet()).filteredOn((task) -> task.job().equals("service")).hasSize(3);
	}

	/**
	 * Guards against a stop of a service or of a gang for the sake of another service.
	 */
	@Test
	void neverStopsServicesAndGangs() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().tasks(3).milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		this.fixture.worker("host0", 16_000);
		this.fixture.worker("host1", 16_000);
		this.fixture.submit("other", new StepBuilder().tasks(5).milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		this.fixture.submit("batch-gang", new StepBuilder().tasks(4).milliCores(4_000).gang().build());
		play(Duration.ofSeconds(2));
		assertThat(this.fixture.job("batch-gang").allTasks()).allMatch(this::runs);
		lose("first");
		play(Duration.ofSeconds(10));
		assertThat(stoppedRuns()).isZero();
	}

	/**
	 * Guards against runs that are stopped on workers on which the service may not run.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "label", "per worker", "draining", "shrunk", "out of service" })
	void stopsNothingWhereTheServiceMayNotRun(String cause) {
		SimulatedWorker first = this.fixture.worker("first", 16_000);
		first.description = first.description.toBuilder().addLabels("special").build();
		this.fixture.report(first);
		StepBuilder step = new StepBuilder().tasks(2).milliCores(4_000).service();
		this.fixture.submit("service",
				(cause.equals("label") ? step.label("special") : step).perWorker(cause.equals("per worker") ? 1 : 0)
					.build());
		this.fixture.runSchedulingRound();
		SimulatedWorker other = this.fixture.worker("host0", 16_000);
		this.fixture.runSchedulingRound();
		this.fixture.submit("batch", DispatchFixture.step(20, 2_000));
		play(Duration.ofSeconds(2));
		if (cause.equals("draining")) {
			other.description = other.description.toBuilder().setDraining(true).build();
		}
		else if (cause.equals("shrunk")) {
			other.description = other.description.toBuilder().setMilliCores(10_000).build();
		}
		else if (cause.equals("out of service")) {
			this.fixture.dispatcher.setEvacuatedDomains(List.of("domain-host0"));
		}
		lose("first");
		play(Duration.ofSeconds(10));
		assertThat(stoppedRuns()).isZero();
	}

	/**
	 * Guards against the loss of work that ends by itself within the time of a stop.
	 */
	@Test
	void awaitsRunsThatEndSoon() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		SimulatedWorker other = this.fixture.worker("host0", 16_000);
		for (int job = 0; job < 2; job++) {
			this.fixture.submit("batch" + job, DispatchFixture.step(4, 4_000));
		}
		play(Duration.ofSeconds(2));
		this.silent.add("first");
		TaskKey ending = other.running.keySet().iterator().next();
		// The service is lost 6.6 s after this, 0.4 s before the end.
		this.runTimes.put(ending, this.elapsed.get(ending).plus(Duration.ofMillis(7_000)));
		lose("first");
		playRound();
		assertThat(stoppedRuns()).isZero();
		other.end(ending, "done");
		play(Duration.ofMillis(600));
		assertServicesRun("service", 0);
		assertThat(stoppedRuns()).isZero();
	}

	/**
	 * Guards against a service that waits for ever for a run that was expected to end.
	 */
	@Test
	void stopsRunsThatDoNotEndAsExpected() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		SimulatedWorker other = this.fixture.worker("host0", 4_000);
		this.fixture.submit("batch", DispatchFixture.step(5, 4_000));
		play(Duration.ofSeconds(2));
		TaskKey ending = other.running.keySet().iterator().next();
		this.runTimes.put(ending, this.elapsed.get(ending).plus(Duration.ofMillis(7_000)));
		lose("first");
		assertThat(other.receivedStops).isEmpty();
		play(RESTART_LIMIT);
		assertServicesRun("service", 0);
		assertThat(other.receivedStops).hasSize(1);
		assertThat(other.receivedStops.get(0).getReason()).isEqualTo(RoomForServices.STOP_REASON);
	}

	/**
	 * Guards against batch runs that are stopped for a service that has never run: that
	 * it waits for capacity harms nobody whom it served.
	 */
	@Test
	void stopsNothingForAServiceThatHasNeverRun() {
		fillFleet();
		this.fixture.submit("new", new StepBuilder().tasks(3).milliCores(4_000).service().build());
		play(Duration.ofSeconds(5));
		assertThat(stoppedRuns()).isZero();
	}

	/**
	 * Guards against a request that outlives its job, and runs on stopping work.
	 */
	@Test
	void stopsNothingOnceTheJobOfTheServiceIsCancelled() {
		fillFleet();
		lose("first");
		this.fixture.dispatcher.cancelled("service");
		play(RESTART_LIMIT);
		assertThat(stoppedRuns()).isZero();
	}

	/**
	 * Guards against a start that takes the last room although it was not sent yet when
	 * the service was lost.
	 */
	@Test
	void startThatIsNotSentYetGivesWay() {
		SimulatedWorker first = this.fixture.worker("first", 8_000);
		this.fixture.submit("service", new StepBuilder().milliCores(8_000).service().build());
		this.fixture.runSchedulingRound();
		SimulatedWorker other = this.fixture.worker("host0", 8_000);
		this.fixture.submit("batch", DispatchFixture.step(4, 2_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch recording = this.fixture.dispatcher.takeBatch(100, Integer.MAX_VALUE);
		assertThat(recording.starts()).hasSize(4);
		first.endAll("failed");
		first.description = first.description.toBuilder().setDraining(true).build();
		this.fixture.report(first);
		this.fixture.dispatcher.schedule();
		this.fixture.store(recording);
		assertThat(this.fixture.dispatcher.recorded(recording, true)).isEmpty();
		this.fixture.runSchedulingRound();
		assertThat(other.running.keySet()).containsExactly(this.fixture.task("service", 0, 0).key());
	}

	/**
	 * Guards against a worker whose runs cannot be stopped: room is made on another one.
	 */
	@Test
	void makesRoomOnAnotherWorkerIfTheFirstStopsNothing() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		this.fixture.worker("host0", 4_000);
		this.fixture.submit("batch0", DispatchFixture.step(1, 4_000));
		this.fixture.submit("batch1", DispatchFixture.step(8, 2_000));
		play(Duration.ofSeconds(2));
		this.fixture.worker("host1", 4_000);
		play(Duration.ofSeconds(1));
		SimulatedWorker stuck = this.fixture.workers.get("host1");
		assertThat(stuck.running).hasSize(2);
		stuck.ignoresStops = true;
		lose("first");
		play(RESTART_LIMIT);
		assertServicesRun("service", 0);
		assertThat(stuck.running.keySet()).noneMatch((task) -> task.job().equals("service"));
	}

	/**
	 * Guards against a leader that stops all batch work at once.
	 */
	@Test
	void limitsTheRunsThatAreStoppedAtTheSameTime() {
		this.fixture.worker("first", 200_000);
		this.fixture.submit("service", new StepBuilder().tasks(50).milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		for (int host = 0; host < 20; host++) {
			this.fixture.worker("host" + host, 16_000).ignoresStops = true;
		}
		this.fixture.submit("batch", DispatchFixture.step(400, 1_000));
		play(Duration.ofSeconds(2));
		lose("first");
		Set<TaskKey> stopped = new HashSet<>();
		for (SimulatedWorker worker : this.fixture.workers.values()) {
			if (!worker.host.equals("first")) {
				this.fixture.report(worker);
				worker.receivedStops.forEach((stop) -> stopped.add(TaskNames.key(stop.getTask())));
			}
		}
		assertThat(stopped).hasSizeBetween(1, DispatchSettings.MAXIMUM_RUNS_STOPPED_FOR_ROOM);
	}

	/**
	 * Guards against services that are held back as suspects beside workers with room:
	 * many workers crash at once, and a new leader does not know for how long their runs
	 * had run.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void suspectedServicesStartAgainInTime(boolean workersReturn) {
		for (int host = 0; host < 11; host++) {
			this.fixture.worker("host" + host, 5_000);
			this.fixture.submit("service" + host, new StepBuilder().tasks(5).milliCores(1_000).service().build());
			this.fixture.runSchedulingRound();
		}
		this.fixture.workers.replaceAll((host, worker) -> {
			worker.description = worker.description.toBuilder().setMilliCores(64_000).build();
			return worker;
		});
		for (int job = 0; job < 11; job++) {
			this.fixture.submit("batch" + job, DispatchFixture.step(20, 1_000));
		}
		play(Duration.ofSeconds(2));
		this.fixture.takeOver();
		this.fixture.reportAll();
		for (int host = 0; host < 6; host++) {
			SimulatedWorker worker = this.fixture.workers.get("host" + host);
			worker.restart();
			if (!workersReturn) {
				worker.description = worker.description.toBuilder().setDraining(true).build();
			}
		}
		this.fixture.reportAll();
		assertThat(this.fixture.crashes).hasSize(6);
		for (int host = 0; host < 6; host++) {
			assertThat(this.fixture.job("service" + host).allTasks()).allMatch(Suspicion::suspected);
		}
		this.fixture.runSchedulingRound();
		play(RESTART_LIMIT);
		for (int host = 0; host < 11; host++) {
			assertServicesRun("service" + host, 0);
		}
	}

	/**
	 * Guards against a suspected service that waits for the end of a probation on the
	 * only worker with room, however long that takes, instead of getting room elsewhere.
	 */
	@Test
	void suspectedServiceDoesNotWaitForALongProbation() {
		SimulatedWorker first = this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		SimulatedWorker crashing = this.fixture.worker("crashing", 16_000);
		crashing.description = crashing.description.toBuilder().addLabels("special").build();
		this.fixture.report(crashing);
		this.fixture.submit("batch-special", new StepBuilder().milliCores(16_000).label("special").build());
		this.fixture.runSchedulingRound();
		this.fixture.worker("host0", 16_000);
		this.fixture.submit("batch", DispatchFixture.step(30, 2_000));
		play(Duration.ofSeconds(2));
		SimulatedWorker probation = this.fixture.worker("probation", 40_000);
		probation.description = probation.description.toBuilder().addLabels("special").build();
		probation.ignoresOrders = true;
		this.fixture.takeOver();
		for (SimulatedWorker worker : List.of(crashing, first)) {
			worker.restart();
			worker.description = worker.description.toBuilder().setDraining(true).build();
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
		}
		TaskProgress service = this.fixture.task("service", 0, 0);
		assertThat(Suspicion.suspected(service)).isTrue();
		assertThat(this.fixture.task("batch-special", 0, 0).host()).isEqualTo("probation");
		play(RESTART_LIMIT);
		assertThat(probation.running).isEmpty();
		assertServicesRun("service", 0);
	}

	/**
	 * Guards against runs that are stopped on a second worker while those of the first
	 * are being stopped. A stop may take 900 ms.
	 */
	@Test
	void stopsNothingElsewhereWhileARunThatDidNotEndAsExpectedIsStopped() {
		this.fixture.worker("first", 16_000);
		this.fixture.submit("service", new StepBuilder().milliCores(4_000).service().build());
		this.fixture.runSchedulingRound();
		SimulatedWorker stopping = this.fixture.worker("host0", 4_000);
		SimulatedWorker other = this.fixture.worker("host1", 4_000);
		this.fixture.submit("batch", DispatchFixture.step(6, 4_000));
		play(Duration.ofSeconds(2));
		TaskKey ending = stopping.running.keySet().iterator().next();
		this.runTimes.put(ending, this.elapsed.get(ending).plus(Duration.ofMillis(7_000)));
		stopping.ignoresStops = true;
		lose("first");
		Duration sinceStop = Duration.ZERO;
		for (Duration played = Duration.ZERO; played.compareTo(RESTART_LIMIT) < 0; played = played.plus(ROUND)) {
			playRound();
			sinceStop = stopping.receivedStops.isEmpty() ? Duration.ZERO : sinceStop.plus(ROUND);
			if (sinceStop.toMillis() >= 900 && stopping.running.containsKey(ending)) {
				stopping.end(ending, "stopped");
			}
		}
		assertServicesRun("service", 0);
		assertThat(stopping.receivedStops).isNotEmpty();
		assertThat(other.receivedStops).isEmpty();
	}

}
