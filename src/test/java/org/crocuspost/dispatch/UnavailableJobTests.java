package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.WorkerDescription;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which reason is given for a batch job of which nothing is known to run, and what
 * keeps its task from each worker.
 */
class UnavailableJobTests {

	private static final String JOB = "0123456789abcdef";

	private static final String OTHER_JOB = "fedcba9876543210";

	private static final TaskKey TASK = new TaskKey(JOB, 0, 0, 0);

	private static final StepSpecification STEP = DispatchFixture.step(1, 1_000);

	private static final StepSpecification FILLER = new StepBuilder().milliCores(1_000).filler("image").build();

	private static final StepSpecification SERVICE = new StepBuilder().milliCores(3_000).service().build();

	private final DispatchFixture fixture = new DispatchFixture();

	private long takeoverNanos = this.fixture.time.nanoTime();

	private boolean mayStart = true;

	private List<UnavailableJob> survey() {
		return this.fixture.dispatcher.load()
			.unavailableJobs(
					new StartConditions(this.takeoverNanos, this.mayStart, Duration.ZERO, Duration.ofMillis(100)));
	}

	private void advance(int seconds) {
		this.fixture.time.advance(Duration.ofSeconds(seconds));
	}

	private SimulatedWorker worker() {
		return this.fixture.workers.get("host");
	}

	private HostState host() {
		return this.fixture.dispatcher.host("host");
	}

	private void describe(UnaryOperator<WorkerDescription.Builder> change) {
		worker().description = change.apply(worker().description.toBuilder()).build();
		this.fixture.report(worker());
	}

	private void crash(String job, int tasks) {
		this.fixture.submit(job, DispatchFixture.step(tasks, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker());
		worker().restart();
		this.fixture.report(worker());
	}

	/**
	 * Runs a task that leaves no spare capacity, so that a job without runs does not take
	 * any worker with room.
	 */
	private void runOther(StepSpecification step) {
		this.fixture.submit(OTHER_JOB, step);
		this.fixture.runSchedulingRound();
		this.fixture.report(worker());
	}

	private void failTwoStarts() {
		host().startBackOff().startFailed(this.fixture.time.nanoTime() - 1);
		host().startBackOff().startFailed(this.fixture.time.nanoTime() + 3_000_000_000L);
	}

	private void start() {
		this.fixture.submit(JOB, STEP);
		this.fixture.runSchedulingRound();
		this.fixture.report(worker());
	}

	private void takeOver() {
		this.fixture.takeOver();
		this.takeoverNanos = this.fixture.time.nanoTime();
	}

	/**
	 * What happens on a host with a worker of four cores before a job is submitted, and
	 * what the survey tells three seconds later. Without a step, the events submit it.
	 */
	static Stream<Arguments> reasons() {
		return Stream.of(row(UnavailabilityReason.UNDECIDED, WorkerCondition.SUITED, STEP, (test) -> {
		}), row(UnavailabilityReason.NO_ROOM, WorkerCondition.CORES, STEP,
				(test) -> test.describe((worker) -> worker.setMilliCores(999))),
				row(UnavailabilityReason.NO_ROOM, WorkerCondition.MEMORY, STEP,
						(test) -> test.describe((worker) -> worker.setMemoryMegabytes(99))),
				row(UnavailabilityReason.NO_ROOM, WorkerCondition.LABEL, new StepBuilder().label("other").build(),
						(test) -> {
						}),
				row(UnavailabilityReason.NO_ROOM, WorkerCondition.FILLER_CORES, FILLER,
						(test) -> test.runOther(DispatchFixture.step(1, 4_000))),
				row(UnavailabilityReason.GANG, WorkerCondition.SUITED, null, (test) -> {
					test.fixture.submit(JOB, new StepBuilder().tasks(5).milliCores(1_000).gang().build());
					test.fixture.runSchedulingRound();
				}),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.DRAINING, STEP,
						(test) -> test.describe((worker) -> worker.setDraining(true))),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.LEFT, STEP,
						(test) -> test.describe((worker) -> worker.setLeft(true))),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.EVACUATED, STEP,
						(test) -> test.fixture.dispatcher.setEvacuatedDomains(Set.of("domain-host"))),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.DISCONNECTED, STEP,
						(test) -> test.fixture.reports.connected("host", false)),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.SILENT, STEP,
						(test) -> test.fixture.reports.reported(test.worker().reportOfSilence(Duration.ZERO), true)),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.LEASE_LAPSED, STEP, (test) -> test.advance(4)),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.QUARANTINE, STEP,
						(test) -> test.host().quarantine(test.fixture.time.nanoTime() + 2_000_000_000L)),
				row(UnavailabilityReason.NO_WORKER, WorkerCondition.STARTS_FAILED, STEP,
						UnavailableJobTests::failTwoStarts),
				row(UnavailabilityReason.EXCLUDED, WorkerCondition.ON_PROBATION, STEP, (test) -> {
					test.crash(OTHER_JOB, 1);
					test.fixture.runSchedulingRound();
				}), row(UnavailabilityReason.EXCLUDED, WorkerCondition.PRESSURE, FILLER, (test) -> {
					test.runOther(SERVICE);
					test.host().servicePressures(Map.of("", 0.7));
				}), row(UnavailabilityReason.EXCLUDED, WorkerCondition.BACK_OFF, FILLER, (test) -> {
					test.runOther(SERVICE);
					test.host().backOff("image", test.fixture.time.nanoTime() + 2_000_000_000L);
				}),
				row(UnavailabilityReason.EXCLUDED, WorkerCondition.WORKER_LIMIT, new StepBuilder().perWorker(1).build(),
						(test) -> test.host().unassignedRuns().put(new TaskKey(JOB, 0, 0, 9), STEP)),
				row(UnavailabilityReason.PROBATION, WorkerCondition.SUITED, null, (test) -> test.crash(JOB, 1)),
				row(UnavailabilityReason.NO_ROOM, WorkerCondition.CORES, null, (test) -> {
					test.crash(JOB, 1);
					test.describe((worker) -> worker.setMilliCores(999));
				}), row(UnavailabilityReason.STORE, null, STEP, (test) -> test.mayStart = false),
				row(UnavailabilityReason.UNASSIGNED_RUN, null, STEP,
						(test) -> test.host().unassignedRuns().put(TASK, STEP)),
				row(UnavailabilityReason.RECORDING, null, null, (test) -> {
					test.fixture.submit(JOB, STEP);
					test.fixture.dispatcher.schedule();
				}), row(UnavailabilityReason.ORDERED, null, null, (test) -> {
					test.fixture.submit(JOB, STEP);
					test.worker().ignoresOrders = true;
					test.fixture.runSchedulingRound();
				}), row(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, null, null, UnavailableJobTests::start),
				row(UnavailabilityReason.UNCONFIRMED_DISCONNECTED, null, null, (test) -> {
					test.start();
					test.fixture.reports.connected("host", false);
				}), row(UnavailabilityReason.UNCONFIRMED_NO_REPORT, null, null, (test) -> {
					test.start();
					test.takeOver();
				}));
	}

	private static Arguments row(UnavailabilityReason reason, WorkerCondition condition, StepSpecification step,
			Consumer<UnavailableJobTests> events) {
		return Arguments.of(reason, condition, step, events);
	}

	/**
	 * Guards against a job that is not started and of which the log does not tell whether
	 * its task is assigned, or which condition keeps it from a worker with room.
	 */
	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("reasons")
	void reasonTellsWhatTheLeaderWaitsFor(UnavailabilityReason reason, WorkerCondition condition,
			StepSpecification step, Consumer<UnavailableJobTests> events) {
		this.fixture.worker("host", 4_000);
		events.accept(this);
		if (step != null) {
			this.fixture.submit(JOB, step);
		}
		advance(3);
		UnavailableJob job = survey().stream().filter((found) -> found.task().equals(TASK)).findFirst().orElseThrow();
		assertThat(job.reason()).isEqualTo(reason);
		assertThat(job.workers().map((workers) -> workers.conditions().keySet()).orElse(Set.of()))
			.isEqualTo((condition != null) ? Set.of(condition) : Set.of());
	}

	/**
	 * Guards against lines about jobs of which something runs, or whose tasks have not
	 * been waiting for three seconds since their turn.
	 */
	@Test
	void jobIsListedThreeSecondsAfterItsLastRunWasListed() {
		this.fixture.worker("host", 4_000);
		this.fixture.submit(JOB, STEP, new StepBuilder().milliCores(5_000).after(0).build());
		this.fixture.runSchedulingRound();
		advance(3);
		this.fixture.report(worker());
		assertThat(survey()).isEmpty();
		worker().end(TASK, "done");
		this.fixture.report(worker());
		this.fixture.time.advance(UnavailableJobSurvey.MINIMUM_DURATION.minusMillis(1));
		assertThat(survey()).isEmpty();
		this.fixture.time.advance(Duration.ofMillis(1));
		assertThat(survey()).extracting(UnavailableJob::task).containsExactly(new TaskKey(JOB, 0, 1, 0));
		takeOver();
		assertThat(survey()).isEmpty();
	}

	/**
	 * Guards against a silent worker whose agent repeats old lists, so that the job seems
	 * to run.
	 */
	@Test
	void oldListsOfASilentWorkerAreNoRun() {
		this.fixture.worker("host", 4_000);
		start();
		advance(3);
		this.fixture.reports.reported(worker().reportOfSilence(Duration.ofSeconds(3)), true);
		assertThat(survey()).extracting(UnavailableJob::reason)
			.containsExactly(UnavailabilityReason.UNCONFIRMED_SILENT);
	}

	/**
	 * Guards against a task that is refused again and again and looks like one that has
	 * just been ordered.
	 */
	@Test
	void consecutiveFailedStartsAreCounted() {
		this.fixture.worker("host", 4_000);
		this.fixture.submit(JOB, DispatchFixture.step(2, 1_000));
		worker().ignoresOrders = true;
		for (int run = 1; run <= 3; run++) {
			this.fixture.runSchedulingRound();
			worker().handledOrder += 2;
			this.fixture.reports.reported(worker().report()
				.toBuilder()
				.addRefused(RefusedStart.newBuilder().setTask(TaskNames.name(TASK)).setRun(run).setReason("no lease"))
				.build(), true);
		}
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(100, Integer.MAX_VALUE);
		this.fixture.dispatcher.setEvacuatedDomains(List.of("domain-host"));
		this.fixture.dispatcher.recorded(batch, true);
		this.fixture.dispatcher.setEvacuatedDomains(List.of());
		assertThat(this.fixture.refusedStarts).containsExactly("no lease", "no lease", "no lease");
		advance(3);
		this.fixture.report(worker());
		UnavailableJob job = survey().get(0);
		assertThat(job.tasks()).isEqualTo(2);
		assertThat(job.failedStart()).contains(
				new UnavailableJob.FailedStart(4, "host", "never ordered", UnavailableJobSurvey.MINIMUM_DURATION));
		worker().running.put(TASK, RunningTask.newBuilder().setTask(TaskNames.name(TASK)).setRun(5).build());
		this.fixture.dispatcher.schedule();
		this.fixture.report(worker());
		assertThat(this.fixture.dispatcher.failedStarts().find(TASK)).isEmpty();
		assertThat(this.fixture.dispatcher.failedStarts().find(new TaskKey(JOB, 0, 0, 1))).isPresent();
		this.fixture.dispatcher.cancelled(JOB);
		assertThat(this.fixture.dispatcher.failedStarts().find(new TaskKey(JOB, 0, 0, 1))).isEmpty();
	}

	/**
	 * Guards against refusals that the agent words differently than the leader expects,
	 * so that all count as refusals of the worker.
	 */
	@Test
	void kindsOfRefusalsAreToldApart() {
		Map<String, RefusalKind> kinds = Map.of("other worker", RefusalKind.OTHER_WORKER, "draining",
				RefusalKind.DRAINING, "the worker's life is uncertain", RefusalKind.UNCERTAIN, "no lease",
				RefusalKind.NO_LEASE, "no capacity", RefusalKind.NO_CAPACITY, "room", RefusalKind.WORKER);
		kinds.forEach((reason, kind) -> assertThat(RefusalKind.of(reason)).isEqualTo(kind));
		assertThat(kinds.values()).containsAll(Arrays.asList(RefusalKind.values()));
	}

}
