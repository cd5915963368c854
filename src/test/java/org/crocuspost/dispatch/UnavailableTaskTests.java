package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which reason is given for a long-running task that is not known to run, and the
 * time until it runs again.
 */
class UnavailableTaskTests {

	private static final String JOB = "0123456789abcdef";

	private static final TaskKey TASK = new TaskKey(JOB, 0, 0, 0);

	private static final String HOST = "host";

	private static final Duration STORE_AGE = Duration.ofSeconds(4);

	private static final StepSpecification SERVICE = new StepBuilder().milliCores(1_000).service().build();

	private final DispatchFixture fixture = new DispatchFixture();

	private long takeoverNanos = this.fixture.time.nanoTime();

	private boolean mayStart = true;

	private SimulatedWorker worker() {
		return this.fixture.workers.get(HOST);
	}

	private void endRun() {
		worker().end(TASK, "stopped");
		this.fixture.report(worker());
	}

	/**
	 * Stores the changes that wait to be recorded, without a scheduling pass.
	 */
	private void storeChanges() {
		this.fixture.store(this.fixture.dispatcher.takeBatch(100, Integer.MAX_VALUE));
	}

	private void takeOver() {
		this.fixture.takeOver();
		this.takeoverNanos = this.fixture.time.nanoTime();
	}

	private void advance(int seconds) {
		this.fixture.time.advance(Duration.ofSeconds(seconds));
	}

	private void describeWorker(int milliCores, boolean draining) {
		worker().description = worker().description.toBuilder().setMilliCores(milliCores).setDraining(draining).build();
	}

	private HostReport silentReport() {
		return worker().report().toBuilder().setWorkerAnswers(false).build();
	}

	private List<UnavailableTask> survey() {
		return this.fixture.dispatcher.load()
			.unavailableTasks(new StartConditions(this.takeoverNanos, this.mayStart,
					this.mayStart ? Duration.ZERO : STORE_AGE, Duration.ofMillis(100)));
	}

	/**
	 * What happens to a task whose run 1 is at work, and what the survey tells two
	 * seconds later: the reason, the run, and for how long the task is unavailable and
	 * how old the information is, in seconds.
	 */
	static Stream<Arguments> reasons() {
		return Stream.of(row(UnavailabilityReason.UNCONFIRMED_NO_REPORT, 1, 2, 2, (test) -> {
			test.takeOver();
			test.advance(2);
		}), row(UnavailabilityReason.UNCONFIRMED_DISCONNECTED, 1, 2, 2, (test) -> {
			test.fixture.reports.connected(HOST, false);
			test.advance(2);
		}), row(UnavailabilityReason.UNCONFIRMED_SILENT, 1, 3, 3, (test) -> {
			test.advance(1);
			test.fixture.reports.reported(test.silentReport(), true);
			test.advance(2);
		}), row(UnavailabilityReason.UNCONFIRMED_SILENT, 1, 3, 2, (test) -> {
			test.takeOver();
			test.advance(1);
			test.fixture.reports.reported(test.silentReport(), true);
			test.advance(2);
		}), row(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, 1, 2, 2, (test) -> {
			test.takeOver();
			test.fixture.reports.reported(test.worker().report().toBuilder().clearRunning().setEndsFollow(true).build(),
					true);
			test.advance(2);
		}), row(UnavailabilityReason.UNASSIGNED_RUN, 1, 2, 1, (test) -> {
			RunningTask late = test.worker().running.remove(TASK);
			test.fixture.report(test.worker());
			test.advance(1);
			test.worker().running.put(TASK, late);
			test.fixture.reports.reported(test.worker().report(), true);
			test.advance(1);
		}), row(UnavailabilityReason.STORE, 1, 2, 4, (test) -> {
			test.endRun();
			test.advance(2);
			test.mayStart = false;
		}), row(UnavailabilityReason.NO_QUEUE, 1, "", 2, 2, (test) -> {
			test.endRun();
			test.storeChanges();
			test.fixture.takeOverWithoutConfiguration();
			test.takeoverNanos = test.fixture.time.nanoTime();
			test.fixture.report(test.worker());
			test.advance(2);
		}), row(UnavailabilityReason.NO_WORKER, 1, 2, 2, (test) -> {
			test.describeWorker(1_000, true);
			test.endRun();
			test.advance(2);
		}), row(UnavailabilityReason.NO_ROOM, 1, 2, 2, (test) -> {
			test.describeWorker(999, false);
			test.endRun();
			test.fixture.runSchedulingRound();
			test.advance(2);
		}), row(UnavailabilityReason.PROBATION, 1, 2, 2, (test) -> {
			test.worker().restart();
			test.fixture.report(test.worker());
			test.advance(2);
		}), row(UnavailabilityReason.UNDECIDED, 1, 2, 2, (test) -> {
			test.endRun();
			test.advance(2);
		}), row(UnavailabilityReason.RECORDING, 2, 3, 2, (test) -> {
			test.endRun();
			test.advance(1);
			test.fixture.dispatcher.schedule();
			test.advance(2);
		}), row(UnavailabilityReason.ORDERED, 2, 3, 2, (test) -> {
			test.endRun();
			test.advance(1);
			test.worker().ignoresOrders = true;
			test.fixture.runSchedulingRound();
			test.advance(2);
		}), row(UnavailabilityReason.PENDING, 2, 2, 1, (test) -> {
			test.endRun();
			test.fixture.runSchedulingRound();
			test.advance(1);
			HostReport report = test.worker().report();
			test.fixture.reports
				.reported(report.toBuilder().clearRunning().addAllPending(report.getRunningList()).build(), true);
			test.advance(1);
		}));
	}

	private static Arguments row(UnavailabilityReason reason, int run, int seconds, int evidenceSeconds,
			Consumer<UnavailableTaskTests> events) {
		return row(reason, run, HOST, seconds, evidenceSeconds, events);
	}

	/**
	 * The row of a task that waits does not keep the host of its last run, so that host
	 * is not known after a takeover.
	 */
	private static Arguments row(UnavailabilityReason reason, int run, String host, int seconds, int evidenceSeconds,
			Consumer<UnavailableTaskTests> events) {
		return Arguments.of(reason, run, host, seconds, evidenceSeconds, events);
	}

	private void startTask() {
		this.fixture.worker(HOST, 1_000);
		this.fixture.submit(JOB, SERVICE);
		this.fixture.runSchedulingRound();
		this.fixture.report(worker());
	}

	/**
	 * Guards against an operator who cannot tell a run that is not declared lost from a
	 * task that waits for a place, for its record or for its order.
	 */
	@ParameterizedTest(name = "{0} {3} {4}")
	@MethodSource("reasons")
	void reasonTellsWhatTheLeaderWaitsFor(UnavailabilityReason reason, int run, String host, int seconds,
			int evidenceSeconds, Consumer<UnavailableTaskTests> events) {
		startTask();
		assertThat(survey()).isEmpty();
		events.accept(this);
		assertThat(survey()).containsExactly(new UnavailableTask(TASK, run, host, reason, Duration.ofSeconds(seconds),
				Duration.ofSeconds(evidenceSeconds)));
	}

	@Test
	void everyReasonIsTested() {
		assertThat(Stream.concat(reasons(), UnavailableJobTests.reasons()).map((row) -> row.get()[0]))
			.containsAll(List.of(UnavailabilityReason.values()));
	}

	/**
	 * Guards against lines about tasks that need not run: fillers, tasks that end by
	 * themselves, and those of ended jobs and of jobs that wait for their first start.
	 */
	@Test
	void onlyLongRunningTasksOfBegunJobsAreListed() {
		startTask();
		this.fixture.submit("fedcba9876543210", DispatchFixture.step(1, 1_000));
		this.fixture.submit("aaaaaaaaaaaaaaaa", new StepBuilder().milliCores(1_000).filler("image").build());
		this.fixture.submit("bbbbbbbbbbbbbbbb", SERVICE);
		this.fixture.runSchedulingRound();
		assertThat(survey()).isEmpty();
		this.fixture.reports.connected(HOST, false);
		advance(2);
		assertThat(survey()).extracting(UnavailableTask::task).containsExactly(TASK);
		this.fixture.dispatcher.cancelled(JOB);
		assertThat(survey()).isEmpty();
	}

	/**
	 * Guards against a line about all tasks of a host for one call that was lost.
	 */
	@Test
	void shortSilenceOfAWorkerIsNoUnavailability() {
		startTask();
		this.fixture.reports.reported(silentReport(), true);
		this.fixture.time.advance(UnavailableTaskSurvey.MINIMUM_SILENCE.minusMillis(1));
		assertThat(survey()).isEmpty();
		this.fixture.time.advance(Duration.ofMillis(1));
		assertThat(survey()).extracting(UnavailableTask::reason)
			.containsExactly(UnavailabilityReason.UNCONFIRMED_SILENT);
	}

	/**
	 * Guards against a time that begins anew with each run that is lost before a report
	 * lists it.
	 */
	@Test
	void timeCountsFromTheLastRunThatWasListed() {
		startTask();
		endRun();
		advance(1);
		worker().ignoresOrders = true;
		this.fixture.runSchedulingRound();
		worker().handledOrder++;
		this.fixture.report(worker());
		assertThat(this.fixture.lostRuns).hasSize(1);
		advance(1);
		worker().ignoresOrders = false;
		this.fixture.runSchedulingRound();
		advance(1);
		assertThat(this.fixture.regainedTasks).isEmpty();
		this.fixture.report(worker());
		assertThat(this.fixture.regainedTasks)
			.containsExactly(new RegainedTask(HOST, Duration.ofSeconds(3), false, new Evidence("life", Duration.ZERO)));
		this.fixture.report(worker());
		assertThat(this.fixture.regainedTasks).hasSize(1);
	}

	/**
	 * Guards against an outage that seems to end with the lists of a worker that does not
	 * answer any more: the agent repeats what was true when it read them.
	 */
	@Test
	void oldListsOfASilentWorkerEndNoUnavailability() {
		startTask();
		endRun();
		this.fixture.runSchedulingRound();
		advance(2);
		this.fixture.reports.reported(silentReport(), true);
		assertThat(this.fixture.regainedTasks).isEmpty();
		this.fixture.report(worker());
		assertThat(this.fixture.regainedTasks).extracting(RegainedTask::duration)
			.containsExactly(Duration.ofSeconds(2));
	}

	/**
	 * Guards against a measure without the time for which a new leader waits for a host
	 * that does not come back.
	 */
	@Test
	void timeOfAnInheritedTaskCountsFromTheTakeover() {
		startTask();
		SimulatedWorker gone = worker();
		takeOver();
		SimulatedWorker other = this.fixture.worker("other", 1_000);
		this.fixture.workers.remove(HOST);
		advance(19);
		this.fixture.report(other);
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), this.takeoverNanos);
		this.fixture.runSchedulingRound();
		this.fixture.report(other);
		assertThat(gone.running).isNotEmpty();
		assertThat(this.fixture.regainedTasks).containsExactly(
				new RegainedTask("other", Duration.ofSeconds(19), true, new Evidence("life", Duration.ZERO)));
	}

	/**
	 * Guards against a run that is confirmed after a takeover and measured as an outage.
	 */
	@Test
	void confirmationOfAnInheritedRunIsNotMeasured() {
		startTask();
		takeOver();
		assertThat(this.fixture.dispatcher.load().inheritedHosts()).containsExactly(new InheritedHost(HOST, 1, false));
		advance(1);
		this.fixture.report(worker());
		assertThat(survey()).isEmpty();
		assertThat(this.fixture.regainedTasks).isEmpty();
		assertThat(this.fixture.dispatcher.load().inheritedHosts()).isEmpty();
	}

	@Test
	void hostThatReportsASilentWorkerHasReported() {
		startTask();
		takeOver();
		this.fixture.reports.reported(HostReport.newBuilder().setHost(HOST).build(), true);
		assertThat(this.fixture.dispatcher.load().inheritedHosts()).containsExactly(new InheritedHost(HOST, 1, true));
	}

}
