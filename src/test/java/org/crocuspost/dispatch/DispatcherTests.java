package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the guarantees for runs when messages, hosts or leaders are lost.
 */
class DispatcherTests {

	private final DispatchFixture fixture = new DispatchFixture();

	@Test
	void sendsStartOrderOnlyAfterAssignmentIsRecorded() {
		SimulatedWorker worker = this.fixture.worker("one", 8_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.dispatcher.schedule();
		assertThat(worker.executedOrders).isEmpty();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		assertThat(batch.tasks().values()).hasSize(2).allMatch((row) -> row.contains("one worker-one"));
		assertThat(this.fixture.dispatcher.recorded(batch, true).get("one")).hasSize(2);
	}

	@Test
	void neverExceedsCapacityOfWorker() {
		SimulatedWorker worker = this.fixture.worker("one", 2_500);
		this.fixture.submit("job", DispatchFixture.step(5, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(2);
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(2);
	}

	@Test
	void countsResourcesOfStoppingRunAsUsed() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("first", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.submit("second", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.cancelled("first");
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
		this.fixture.report(worker);
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
	}

	@Test
	void acknowledgesEndOnlyAfterItIsRecorded() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		worker.endAll("done");
		assertThat(this.fixture.report(worker).recordedEnds()).isZero();
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.report(worker).recordedEnds()).isEqualTo(1);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void replacesLostStartOrderByNewRun() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		worker.ignoresOrders = true;
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		assertThat(this.fixture.task("job", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
		worker.ignoresOrders = false;
		worker.handledOrder = 1;
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	@Test
	void findsRunsAfterTakeoverAndStartsNoneTwice() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(3, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.takeOver();
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(3);
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(3);
		worker.endAll("done");
		this.fixture.report(worker);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void waitsAfterTakeoverForLeaseOfHostThatNeverReported() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		SimulatedWorker unresponsive = this.fixture.workers.remove("one");
		this.fixture.takeOver();
		long takeover = this.fixture.time.nanoTime();
		SimulatedWorker other = this.fixture.worker("two", 1_000);
		this.fixture.time.advance(Duration.ofSeconds(19));
		this.fixture.report(other);
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), takeover);
		this.fixture.runSchedulingRound();
		assertThat(other.executedOrders).isEmpty();
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.report(other);
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), takeover);
		this.fixture.runSchedulingRound();
		assertThat(other.executedOrders).hasSize(1);
		assertThat(unresponsive.running).hasSize(1);
	}

	@Test
	void replacesRunOnUnresponsiveHostOnlyAfterLeaseTimeout() {
		SimulatedWorker first = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(first);
		this.fixture.reports.connected("one", false);
		SimulatedWorker second = this.fixture.worker("two", 1_000);
		this.fixture.time.advance(Duration.ofSeconds(6));
		this.fixture.report(second);
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), 0);
		this.fixture.runSchedulingRound();
		assertThat(second.executedOrders).isEmpty();
		this.fixture.time.advance(Duration.ofSeconds(1));
		this.fixture.report(second);
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), 0);
		this.fixture.runSchedulingRound();
		assertThat(second.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * A replaced agent connects and reports before its worker has announced itself. Such
	 * a report must not end the runs of the worker.
	 */
	@Test
	void keepsRunsAfterReportWithoutWorker() {
		this.fixture.worker("host", 4_000);
		this.fixture.worker("other", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.reportAll();
		String host = this.fixture.task("0123456789abcdef", 0, 0).host();
		this.fixture.reports.reported(HostReport.newBuilder().setHost(host).setLife("next").build(), true);
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(1);
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

	/**
	 * A start order is in flight while its worker restarts. The worker keeps its identity
	 * and carries out the order in its new incarnation.
	 */
	@Test
	void keepsRunThatRestartedWorkerLists() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(2, 1_000));
		this.fixture.runSchedulingRound();
		worker.running.remove(this.fixture.task("0123456789abcdef", 0, 1).key());
		worker.description = worker.description.toBuilder().setBorn(2).build();
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(1);
		assertThat(this.fixture.task("0123456789abcdef", 0, 1).run()).isEqualTo(2);
	}

	@Test
	void replacesRunsOfRestartedWorker() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		worker.restart();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).extracting(StartOrder::getWorkerBorn).containsExactly(1L, 2L);
	}

	@Test
	void failsJobAfterAllowedAttempts() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		worker.endAll("failed");
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.ACTIVE);
		worker.endAll("failed");
		this.fixture.report(worker);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.FAILED);
		this.fixture.time.advance(Duration.ofMinutes(1));
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
	}

	@Test
	void countsFailureOnceAcrossTakeover() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		worker.endAll("failed");
		this.fixture.report(worker);
		while (this.fixture.dispatcher.hasChanges()) {
			this.fixture.store(this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE));
		}
		this.fixture.takeOver();
		this.fixture.report(worker);
		assertThat(this.fixture.task("job", 0, 0).failures()).isEqualTo(1);
	}

	/**
	 * A new leader may receive the end of the last allowed run before it knows how many
	 * runs are allowed.
	 */
	@Test
	void startsNoRunAfterLastAllowedFailureReportedBeforeTheConfiguration() {
		SimulatedWorker worker = this.fixture.worker("one", 8_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		for (int run = 0; run < 2; run++) {
			this.fixture.runSchedulingRound();
			worker.endAll("failed");
			if (run == 0) {
				this.fixture.report(worker);
			}
		}
		this.fixture.takeOverWithoutConfiguration();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		this.fixture.configure(this.fixture.dispatcher);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.FAILED);
	}

	@Test
	void assignsNoTasksToWorkerWithConsecutiveFailures() {
		SimulatedWorker bad = this.fixture.worker("bad", 64_000);
		this.fixture.submit("one", DispatchFixture.step(2, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(bad.running).hasSize(2);
		SimulatedWorker good = this.fixture.worker("good", 4_000);
		bad.endAll("failed");
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(good.running).hasSize(2);
		assertThat(bad.running).isEmpty();
	}

	@Test
	void startsNothingInFailureDomainOutOfService() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		this.fixture.dispatcher.setEvacuatedDomains(Set.of("domain-one"));
		assertThat(this.fixture.dispatcher.recorded(batch, true)).isEmpty();
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).isEmpty();
		this.fixture.dispatcher.setEvacuatedDomains(Set.of());
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	@Test
	void sendsNoStartOrderIfJobEndsOrHostDisconnectsDuringRecording() {
		this.fixture.worker("one", 4_000);
		this.fixture.submit("cancelled", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch first = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		this.fixture.dispatcher.cancelled("cancelled");
		assertThat(this.fixture.dispatcher.recorded(first, true)).isEmpty();
		this.fixture.submit("waiting", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch second = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		this.fixture.reports.connected("one", false);
		assertThat(this.fixture.dispatcher.recorded(second, true)).isEmpty();
	}

	@Test
	void startsStepOnlyAfterItsPredecessors() {
		SimulatedWorker worker = this.fixture.worker("one", 8_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000), new StepBuilder().after(0).build());
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
		worker.end(this.fixture.task("job", 0, 0).key(), "done");
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
		worker.end(this.fixture.task("job", 0, 1).key(), "done");
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(3);
	}

	@Test
	void respectsLabelsAndLimitPerWorker() {
		SimulatedWorker first = this.fixture.worker("one", 8_000);
		SimulatedWorker second = this.fixture.worker("two", 8_000);
		this.fixture.submit("spread", new StepBuilder().tasks(3).perWorker(1).build());
		this.fixture.submit("elsewhere", new StepBuilder().label("other").build());
		this.fixture.runSchedulingRound();
		assertThat(List.of(first.running.size(), second.running.size())).containsExactly(1, 1);
	}

	@Test
	void startsGangOnlyAsAWhole() {
		SimulatedWorker first = this.fixture.worker("one", 2_000);
		this.fixture.submit("gang", new StepBuilder().tasks(4).gang().perWorker(2).build());
		this.fixture.runSchedulingRound();
		assertThat(first.executedOrders).isEmpty();
		SimulatedWorker second = this.fixture.worker("two", 2_000);
		this.fixture.runSchedulingRound();
		assertThat(first.executedOrders.size() + second.executedOrders.size()).isEqualTo(4);
		assertThat(first.executedOrders).extracting(StartOrder::getRun).containsOnly(1);
		first.end(this.fixture.task("gang", 0, 0).key(), "done");
		this.fixture.report(first);
		assertThat(this.fixture.job("gang").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void stopsRunsOfCancelledJob() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		assertThat(this.fixture.dispatcher.cancelled("job")).containsExactly("one");
		assertThat(this.fixture.report(worker).stops()).hasSize(2);
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.running).isEmpty();
		assertThat(worker.executedOrders).hasSize(2);
	}

	@Test
	void appliesCancellationThatArrivesBeforeItsJob() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.dispatcher.cancelled("job");
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).isEmpty();
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.CANCELLED);
	}

	@Test
	void movesStalledTaskToAnotherWorker() {
		SimulatedWorker first = this.fixture.worker("one", 2_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		SimulatedWorker second = this.fixture.worker("two", 1_000);
		for (int tick = 0; tick < 40; tick++) {
			this.fixture.time.advance(Duration.ofMillis(100));
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
		}
		assertThat(first.running).isEmpty();
		assertThat(second.running).hasSize(1);
	}

}
