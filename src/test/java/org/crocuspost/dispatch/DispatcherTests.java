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
 * What the leader promises about runs, whatever gets lost on the way.
 */
class DispatcherTests {

	private final DispatchFixture fixture = new DispatchFixture();

	@Test
	void aRunIsOrderedOnlyAfterItIsRecorded() {
		SimulatedWorker worker = this.fixture.worker("one", 8_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.dispatcher.schedule();
		assertThat(worker.obeyed).isEmpty();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(10);
		assertThat(batch.jobs().get("job")).contains("one worker-one");
		assertThat(this.fixture.dispatcher.recorded(batch, true).get("one")).hasSize(2);
	}

	@Test
	void aWorkerNeverGetsMoreThanItHolds() {
		SimulatedWorker worker = this.fixture.worker("one", 2_500);
		this.fixture.submit("job", DispatchFixture.step(5, 1_000));
		this.fixture.round();
		assertThat(worker.running).hasSize(2);
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.running).hasSize(2);
	}

	@Test
	void theRoomOfARunThatIsBeingStoppedIsNotFree() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("first", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.submit("second", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.cancelled("first");
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(1);
		this.fixture.report(worker);
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(2);
	}

	@Test
	void anEndIsAcknowledgedOnlyAfterItIsRecorded() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		worker.endAll("done");
		assertThat(this.fixture.report(worker).recordedEnds()).isZero();
		this.fixture.round();
		assertThat(this.fixture.report(worker).recordedEnds()).isEqualTo(1);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void aLostOrderIsMadeUpForWithANewRun() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		worker.deaf = true;
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.report(worker);
		assertThat(this.fixture.task("job", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
		worker.deaf = false;
		worker.handledOrder = 1;
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).extracting(StartOrder::getRun).containsExactly(2);
	}

	@Test
	void aTakeoverFindsTheRunsAndStartsNoneTwice() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(3, 1_000));
		this.fixture.round();
		this.fixture.takeOver();
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(3);
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(3);
		worker.endAll("done");
		this.fixture.report(worker);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void aTakeoverWaitsForTheLeaseOfAHostItNeverHeard() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		SimulatedWorker silent = this.fixture.workers.remove("one");
		this.fixture.takeOver();
		long takeover = this.fixture.time.nanoTime();
		SimulatedWorker other = this.fixture.worker("two", 1_000);
		this.fixture.time.advance(Duration.ofSeconds(19));
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), takeover);
		this.fixture.round();
		assertThat(other.obeyed).isEmpty();
		this.fixture.time.advance(Duration.ofSeconds(2));
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), takeover);
		this.fixture.round();
		assertThat(other.obeyed).hasSize(1);
		assertThat(silent.running).hasSize(1);
	}

	@Test
	void aRunOnAHostThatFellSilentIsReplacedOnlyAfterItsLease() {
		SimulatedWorker first = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.report(first);
		this.fixture.reports.connected("one", false);
		SimulatedWorker second = this.fixture.worker("two", 1_000);
		this.fixture.time.advance(Duration.ofSeconds(6));
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), 0);
		this.fixture.round();
		assertThat(second.obeyed).isEmpty();
		this.fixture.time.advance(Duration.ofSeconds(1));
		this.fixture.reports.expireLeases(Duration.ofSeconds(20), 0);
		this.fixture.round();
		assertThat(second.obeyed).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * An agent that was replaced is connected before its worker has announced itself;
	 * found by the fault soak with seed 1.
	 */
	@Test
	void aReportWithoutAWorkerSaysNothingAboutItsRuns() {
		this.fixture.worker("host", 4_000);
		this.fixture.worker("other", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.reportAll();
		String host = this.fixture.task("0123456789abcdef", 0, 0).host();
		this.fixture.reports.reported(HostReport.newBuilder().setHost(host).setLife("next").build(), true);
		this.fixture.round();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(1);
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

	/**
	 * A start that crossed the restart of a worker that kept its identity; found by the
	 * fault soak with seed 138.
	 */
	@Test
	void aRunThatTheNewLifeOfItsWorkerListsGoesOn() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(2, 1_000));
		this.fixture.round();
		worker.running.remove(this.fixture.task("0123456789abcdef", 0, 1).key());
		worker.description = worker.description.toBuilder().setBorn(2).build();
		this.fixture.reportAll();
		this.fixture.round();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(1);
		assertThat(this.fixture.task("0123456789abcdef", 0, 1).run()).isEqualTo(2);
	}

	@Test
	void aRestartedWorkerRunsNothing() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.report(worker);
		worker.restart();
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).extracting(StartOrder::getWorkerBorn).containsExactly(1L, 2L);
	}

	@Test
	void aJobFailsAfterTheAllowedAttempts() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		worker.endAll("failed");
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.ACTIVE);
		worker.endAll("failed");
		this.fixture.report(worker);
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.FAILED);
		this.fixture.time.advance(Duration.ofMinutes(1));
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(2);
	}

	@Test
	void aFailureIsCountedOnceAlsoAfterATakeover() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		worker.endAll("failed");
		this.fixture.report(worker);
		while (this.fixture.dispatcher.hasChanges()) {
			this.fixture.stored.putAll(this.fixture.dispatcher.takeBatch(10).jobs());
		}
		this.fixture.takeOver();
		this.fixture.report(worker);
		assertThat(this.fixture.task("job", 0, 0).failures()).isEqualTo(1);
	}

	@Test
	void aWorkerThatFailsAllItStartsGetsNoMore() {
		SimulatedWorker bad = this.fixture.worker("bad", 64_000);
		this.fixture.submit("one", DispatchFixture.step(2, 1_000));
		this.fixture.round();
		assertThat(bad.running).hasSize(2);
		SimulatedWorker good = this.fixture.worker("good", 4_000);
		bad.endAll("failed");
		this.fixture.reportAll();
		this.fixture.round();
		assertThat(good.running).hasSize(2);
		assertThat(bad.running).isEmpty();
	}

	@Test
	void nothingStartsInAFailureDomainThatIsOut() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(10);
		this.fixture.dispatcher.setEvacuatedDomains(Set.of("domain-one"));
		assertThat(this.fixture.dispatcher.recorded(batch, true)).isEmpty();
		this.fixture.round();
		assertThat(worker.obeyed).isEmpty();
		this.fixture.dispatcher.setEvacuatedDomains(Set.of());
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(1);
	}

	@Test
	void aRunIsNotOrderedIfItsJobEndsOrItsHostIsLostWhileItIsRecorded() {
		this.fixture.worker("one", 4_000);
		this.fixture.submit("cancelled", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch first = this.fixture.dispatcher.takeBatch(10);
		this.fixture.dispatcher.cancelled("cancelled");
		assertThat(this.fixture.dispatcher.recorded(first, true)).isEmpty();
		this.fixture.submit("waiting", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch second = this.fixture.dispatcher.takeBatch(10);
		this.fixture.reports.connected("one", false);
		assertThat(this.fixture.dispatcher.recorded(second, true)).isEmpty();
	}

	@Test
	void stepsWaitForTheirPredecessors() {
		SimulatedWorker worker = this.fixture.worker("one", 8_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000), new StepBuilder().after(0).build());
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(2);
		worker.end(this.fixture.task("job", 0, 0).key(), "done");
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(2);
		worker.end(this.fixture.task("job", 0, 1).key(), "done");
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(3);
	}

	@Test
	void labelsAndTheLimitForEachWorkerAreKept() {
		SimulatedWorker first = this.fixture.worker("one", 8_000);
		SimulatedWorker second = this.fixture.worker("two", 8_000);
		this.fixture.submit("spread", new StepBuilder().tasks(3).perWorker(1).build());
		this.fixture.submit("elsewhere", new StepBuilder().label("other").build());
		this.fixture.round();
		assertThat(List.of(first.running.size(), second.running.size())).containsExactly(1, 1);
	}

	@Test
	void aGangStartsWholeOrNotAtAll() {
		SimulatedWorker first = this.fixture.worker("one", 2_000);
		this.fixture.submit("gang", new StepBuilder().tasks(4).gang().perWorker(2).build());
		this.fixture.round();
		assertThat(first.obeyed).isEmpty();
		SimulatedWorker second = this.fixture.worker("two", 2_000);
		this.fixture.round();
		assertThat(first.obeyed.size() + second.obeyed.size()).isEqualTo(4);
		assertThat(first.obeyed).extracting(StartOrder::getRun).containsOnly(1);
		first.end(this.fixture.task("gang", 0, 0).key(), "done");
		this.fixture.report(first);
		assertThat(this.fixture.job("gang").state()).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void aCancelledJobIsStopped() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.round();
		this.fixture.report(worker);
		assertThat(this.fixture.dispatcher.cancelled("job")).containsExactly("one");
		assertThat(this.fixture.report(worker).stops()).hasSize(2);
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.running).isEmpty();
		assertThat(worker.obeyed).hasSize(2);
	}

	@Test
	void aCancellationThatIsSeenBeforeItsJobCounts() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.dispatcher.cancelled("job");
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		assertThat(worker.obeyed).isEmpty();
		assertThat(this.fixture.job("job").state()).isEqualTo(JobState.CANCELLED);
	}

	@Test
	void aTaskThatStandsStillRunsElsewhere() {
		SimulatedWorker first = this.fixture.worker("one", 2_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		SimulatedWorker second = this.fixture.worker("two", 1_000);
		for (int second100 = 0; second100 < 40; second100++) {
			this.fixture.time.advance(Duration.ofMillis(100));
			this.fixture.reportAll();
			this.fixture.round();
		}
		assertThat(first.running).isEmpty();
		assertThat(second.running).hasSize(1);
	}

}
