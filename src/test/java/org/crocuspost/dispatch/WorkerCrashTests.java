package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the leader concludes about the cause of a worker's crash.
 */
class WorkerCrashTests {

	private static final String LONG_RUNNING = "0123456789abcdef";

	private static final String STARTED_LAST = "fedcba9876543210";

	private final DispatchFixture fixture = new DispatchFixture();

	private SimulatedWorker startOneTaskAfterTheOther() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit(LONG_RUNNING, DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		this.fixture.time.advance(Duration.ofSeconds(1));
		this.fixture.report(worker);
		this.fixture.submit(STARTED_LAST, DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		return worker;
	}

	private void crash(SimulatedWorker worker) {
		worker.restart();
		this.fixture.report(worker);
	}

	@Test
	void namesTasksThatWereStartedShortlyBeforeCrash() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		crash(worker);
		assertThat(this.fixture.crashes).singleElement().satisfies((crash) -> {
			assertThat(crash.runs()).isEqualTo(2);
			assertThat(crash.recentStarts()).containsExactly(new TaskKey(STARTED_LAST, 0, 0, 0));
		});
	}

	/**
	 * The lists of a worker that does not answer are repeated in each report, and say
	 * nothing about its runs.
	 */
	@Test
	void repeatedListOfSilentWorkerDoesNotShowThatRunGoesOn() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		this.fixture.report(worker);
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reports
			.reported(worker.reportWithLists(Duration.ofSeconds(2)).toBuilder().setWorkerAnswers(false).build(), true);
		crash(worker);
		assertThat(this.fixture.crashes).singleElement()
			.extracting(WorkerCrash::recentStarts)
			.isEqualTo(List.of(new TaskKey(STARTED_LAST, 0, 0, 0)));
	}

	/**
	 * A report that is held up on its way, for example while the leader is suspended,
	 * says nothing about the time after it was composed.
	 */
	@Test
	void delayOfReportDoesNotShowThatRunGoesOn() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		this.fixture.report(worker);
		this.fixture.time.advance(Duration.ofMillis(50));
		HostReport delayed = worker.report();
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reports.reported(delayed, true);
		crash(worker);
		assertThat(this.fixture.crashes).singleElement()
			.extracting(WorkerCrash::recentStarts)
			.isEqualTo(List.of(new TaskKey(STARTED_LAST, 0, 0, 0)));
	}

	/**
	 * Guards against a crash that is not counted because a report of the next agent,
	 * which knows nothing of the order, has arrived before it.
	 */
	@Test
	void countsStartThatWasOrderedThroughFormerAgent() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		TaskKey started = new TaskKey(STARTED_LAST, 0, 0, 0);
		worker.running.remove(started);
		this.fixture.reports.connected("host", false);
		this.fixture.reports.connected("host", true);
		this.fixture.reports.reported(worker.report().toBuilder().setLife("next").setHandledOrder(0).build(), true);
		worker.restart();
		this.fixture.reports.reported(worker.report().toBuilder().setLife("next").setHandledOrder(0).build(), true);
		assertThat(this.fixture.crashes).singleElement()
			.extracting(WorkerCrash::recentStarts)
			.isEqualTo(List.of(started));
	}

	/**
	 * An order that is still on its way on the present connection was not handled.
	 */
	@Test
	void doesNotCountStartThatHasNotReachedAgent() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		worker.running.remove(new TaskKey(STARTED_LAST, 0, 0, 0));
		worker.restart();
		this.fixture.reports.reported(worker.report().toBuilder().setHandledOrder(1).build(), true);
		assertThat(this.fixture.crashes).singleElement()
			.satisfies((crash) -> assertThat(crash.recentStarts()).isEmpty());
	}

	/**
	 * A connection can be opened to an agent that is suspended or cannot be heard.
	 */
	@Test
	void nothingStartsOnNewConnectionBeforeItsFirstReport() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.reports.connected("host", false);
		this.fixture.reports.connected("host", true);
		this.fixture.submit(LONG_RUNNING, DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).isEmpty();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	/**
	 * After the leader was suspended, it checks the leases before it reads the reports
	 * that have arrived meanwhile. A task that was assigned then was lost at the next
	 * check, and the crash that this counts for a worker had not happened.
	 */
	@Test
	void nothingStartsOnceLeaseHasLapsed() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.time.advance(DispatchFixture.SETTINGS.leaseTimeout().plusMillis(1));
		this.fixture.submit(LONG_RUNNING, DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.task(LONG_RUNNING, 0, 0).crashes()).isZero();
		assertThat(worker.executedOrders).isEmpty();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	/**
	 * The lease can lapse while the assignment is being recorded, for as long as the
	 * store does not respond.
	 */
	@Test
	void startThatIsRecordedAfterLeaseHasLapsedIsNotOrdered() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit(LONG_RUNNING, DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(100, Integer.MAX_VALUE);
		this.fixture.time.advance(DispatchFixture.SETTINGS.leaseTimeout().plusMillis(1));
		assertThat(this.fixture.dispatcher.recorded(batch, true)).isEmpty();
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.task(LONG_RUNNING, 0, 0).crashes()).isZero();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	@Test
	void doesNotCountRefusedStart() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		TaskKey refused = new TaskKey(STARTED_LAST, 0, 0, 0);
		worker.running.remove(refused);
		worker.restart();
		this.fixture.reports.reported(worker.report()
			.toBuilder()
			.addRefused(RefusedStart.newBuilder()
				.setTask(TaskNames.name(refused))
				.setRun(1)
				.setReason("the worker's life is uncertain"))
			.build(), true);
		assertThat(this.fixture.crashes).singleElement().satisfies((crash) -> {
			assertThat(crash.runs()).isEqualTo(1);
			assertThat(crash.recentStarts()).isEmpty();
		});
	}

	@Test
	void workerThatHasDrainedOrLeftHasNotCrashed() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		worker.description = worker.description.toBuilder().setDraining(true).build();
		this.fixture.report(worker);
		worker.description = worker.description.toBuilder().setDraining(false).build();
		crash(worker);
		assertThat(this.fixture.crashes).isEmpty();
	}

	@Test
	void newLeaderNoticesCrashOfWorkerThatOnlyItsPredecessorHasSeen() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		this.fixture.takeOver();
		crash(worker);
		assertThat(this.fixture.crashes).singleElement().satisfies((crash) -> {
			assertThat(crash.startMillis()).isEqualTo(1);
			assertThat(crash.runs()).isEqualTo(2);
		});
	}

	/**
	 * The new leader does not know the worker of a host that has never reported to it,
	 * but the row of the task names it.
	 */
	@Test
	void crashCountedForLapsedLeaseIsWithdrawnWhenSameWorkerReportsToNewLeader() {
		SimulatedWorker worker = startOneTaskAfterTheOther();
		this.fixture.takeOver();
		this.fixture.time.advance(Duration.ofSeconds(19));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.task(STARTED_LAST, 0, 0).crashes()).isEqualTo(1);
		worker.running.clear();
		this.fixture.report(worker);
		assertThat(this.fixture.task(STARTED_LAST, 0, 0).crashes()).isZero();
	}

	/**
	 * A worker that restarted three times within seconds counted as three workers, and a
	 * job that was not to blame was given up.
	 */
	@Test
	void suspectedTaskLeavesHostWhoseWorkersCrashRepeatedly() {
		SimulatedWorker unstable = this.fixture.worker("unstable", 2_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		SimulatedWorker other = this.fixture.worker("other", 2_000);
		this.fixture.submit("neighbour", DispatchFixture.step(1, 1_500));
		this.fixture.runSchedulingRound();
		for (int crash = 0; crash < 2; crash++) {
			this.fixture.time.advance(Duration.ofMillis(300));
			other.description = other.description.toBuilder().setMilliCores((crash == 0) ? 1_500 : 4_000).build();
			this.fixture.report(other);
			unstable.restart();
			this.fixture.report(unstable);
			this.fixture.runSchedulingRound();
		}
		assertThat(other.running).containsKey(new TaskKey("job", 0, 0, 0));
		assertThat(this.fixture.job("job").state().terminal()).isFalse();
	}

}
