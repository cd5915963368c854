package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What makes the leader give a run up, and what does not.
 */
class LostRunTests {

	private final DispatchFixture fixture = new DispatchFixture();

	/**
	 * A start that was taken for lost is carried out late, while its task waits.
	 */
	@Test
	void aTaskIsNotStartedBesideARunOfItThatShowsUpLate() {
		SimulatedWorker first = this.fixture.worker("first", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		TaskKey task = this.fixture.task("0123456789abcdef", 0, 0).key();
		RunningTask late = first.running.remove(task);
		this.fixture.report(first);
		first.running.put(task, late);
		assertThat(this.fixture.reports.reported(first.report(), true).stops()).hasSize(1);
		SimulatedWorker second = this.fixture.worker("second", 1_000);
		this.fixture.round();
		assertThat(second.obeyed).isEmpty();
		first.end(task, "stopped");
		this.fixture.reportAll();
		this.fixture.round();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(2);
	}

	/**
	 * A table that is read again may still show a job whose removal is under way.
	 */
	@Test
	void aJobWhoseRemovalIsUnderWayIsNotRunAgain() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		worker.endAll("done");
		this.fixture.report(worker);
		this.fixture.round();
		this.fixture.time.advance(DispatchFixture.SETTINGS.retention().plusSeconds(1));
		DispatchBatch removal = this.fixture.dispatcher.takeBatch(10);
		assertThat(removal.removals()).containsExactly("0123456789abcdef");
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.recorded(removal, true);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(1);
	}

	/**
	 * A worker lists 500 ends at a time, so a run in neither list may have ended.
	 */
	@Test
	void aRunIsNotGivenUpWhileEndsFollow() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.report(worker);
		worker.endAll("done");
		HostReport whole = worker.report();
		this.fixture.reports.reported(whole.toBuilder().clearEnded().setEndsFollow(true).build(), true);
		this.fixture.round();
		assertThat(worker.obeyed).hasSize(1);
		this.fixture.reports.reported(whole, true);
		assertThat(this.fixture.job("0123456789abcdef").state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * The leader that heard of the worker's end was gone before it had recorded that;
	 * melashuttle, mix with seed 209798783296.
	 */
	@Test
	void aNewLeaderStartsTheTasksOfAWorkerThatHasDepartedAtOnce() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.workers.clear();
		this.fixture.takeOver();
		this.fixture.reports.departed("one", new Departure("worker-one", 1, 0, "agent"));
		SimulatedWorker other = this.fixture.worker("other", 1_000);
		this.fixture.round();
		assertThat(other.obeyed).extracting(StartOrder::getRun).containsExactly(2);
	}

	@Test
	void aDepartureThatIsReadBeforeTheJobsEndsTheRunsOfThatLifeOnly() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.workers.clear();
		this.fixture.dispatcher = this.fixture.newDispatcher();
		this.fixture.reports = new ReportProcessor(this.fixture.dispatcher, this.fixture.imagePressure);
		this.fixture.reports.departed("one", new Departure("worker-one", 1, 0, "agent"));
		this.fixture.submitAgain();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.WAITING_AFTER_LOSS);
		this.fixture.takeOver();
		this.fixture.reports.departed("one", new Departure("worker-one", 2, 0, "agent"));
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

	/**
	 * An agent that obeys the new leader takes no lease from the former one.
	 */
	@Test
	void theRunsOfASilentWorkerAreGivenUpALeaseAfterItsAgentIsHeard() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.takeOver();
		this.fixture.reports.reported(worker.report().toBuilder().setWorkerAnswers(false).build(), true);
		this.fixture.time.advance(Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.WAITING_AFTER_LOSS);
	}

	/**
	 * The agent held the filler beside a busy service; melashuttle, hunt-214d-11.
	 */
	@Test
	void aFillerThatGetsItsPaceBackIsNotTakenToHang() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("0123456789abcdef", new StepBuilder().milliCores(1_000).filler("image").build());
		this.fixture.round();
		TaskKey task = this.fixture.task("0123456789abcdef", 0, 0).key();
		worker.pace(task, 0);
		for (int report = 0; report < 20; report++) {
			this.fixture.report(worker);
			this.fixture.time.advance(Duration.ofMillis(200));
		}
		worker.pace(task, 100);
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).isEmpty();
		assertThat(this.fixture.beliefs).doesNotContain("suspected");
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT);
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).hasSize(1);
	}

	/**
	 * A report comes every few milliseconds while the run is being stopped.
	 */
	@Test
	void aWorkerWhoseTaskStandsStillIsSuspectedOnce() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		this.fixture.report(worker);
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT);
		for (int report = 0; report < 20; report++) {
			assertThat(this.fixture.reports.reported(worker.report(), true).stops()).hasSize(1);
			this.fixture.time.advance(Duration.ofMillis(20));
		}
		assertThat(this.fixture.beliefs).containsOnlyOnce("suspected");
	}

	@Test
	void aRunIsGivenUpWithTheEvidenceThatDecidedIt() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.round();
		worker.running.clear();
		this.fixture.reports.reported(worker.report().toBuilder().setLife("next").setListsAgeMillis(40).build(), true);
		this.fixture.round();
		this.fixture.time.advance(Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.lost).containsExactly(
				new DispatchFixture.LostRun("not running", new Evidence("next", Duration.ofMillis(40))),
				new DispatchFixture.LostRun("lease lapsed", new Evidence("", Duration.ofSeconds(7))));
	}

	/**
	 * Births are compared by the wall clock of the worker's host, which may jump.
	 */
	@Test
	void aWorkerWhoseClockWasSetBackGetsTasksAgain() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		worker.restart();
		this.fixture.report(worker);
		worker.restart();
		worker.description = worker.description.toBuilder().setBorn(1).build();
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.report(worker);
		this.fixture.round();
		assertThat(worker.obeyed).extracting(StartOrder::getWorkerBorn).containsExactly(1L);
	}

}
