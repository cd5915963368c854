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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests under which conditions the leader declares a run lost.
 */
class LostRunTests {

	private final DispatchFixture fixture = new DispatchFixture();

	/**
	 * A start order that the leader considers lost is carried out late, while its task
	 * waits for another run. A second run must not start next to it.
	 */
	@Test
	void startsNoSecondRunWhileLateRunIsListed() {
		SimulatedWorker first = this.fixture.worker("first", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		TaskKey task = this.fixture.task("0123456789abcdef", 0, 0).key();
		RunningTask late = first.running.remove(task);
		this.fixture.report(first);
		first.running.put(task, late);
		assertThat(this.fixture.reports.reported(first.report(), true).stops()).hasSize(1);
		SimulatedWorker second = this.fixture.worker("second", 1_000);
		this.fixture.runSchedulingRound();
		assertThat(second.executedOrders).isEmpty();
		first.end(task, "stopped");
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).run()).isEqualTo(2);
	}

	/**
	 * A table that is read again may still contain a job whose removal is in progress.
	 */
	@Test
	void doesNotRunJobAgainDuringItsRemoval() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		worker.endAll("done");
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		this.fixture.time.advance(DispatchFixture.SETTINGS.retention().plusSeconds(1));
		DispatchBatch reduction = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		assertThat(reduction.cleanup().reduced()).containsExactly("0123456789abcdef");
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.recorded(reduction, true);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		DispatchBatch removal = this.fixture.dispatcher.takeBatch(10, Integer.MAX_VALUE);
		assertThat(removal.cleanup().expired()).containsExactly("0123456789abcdef");
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.recorded(removal, true);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	/**
	 * A worker lists 500 ends at a time, so a run that is listed neither as running nor
	 * as ended may have ended.
	 */
	@Test
	void doesNotLoseUnlistedRunWhileMoreEndsFollow() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		worker.endAll("done");
		HostReport whole = worker.report();
		this.fixture.reports.reported(whole.toBuilder().clearEnded().setEndsFollow(true).build(), true);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
		this.fixture.reports.reported(whole, true);
		assertThat(this.fixture.job("0123456789abcdef").state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * The leader that received the end of the worker was lost before it had recorded the
	 * end, so only the record of the agent is left.
	 */
	@Test
	void restartsTasksOfDepartedWorkerImmediatelyAfterTakeover() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.workers.clear();
		this.fixture.takeOver();
		this.fixture.reports.departed("one", new Departure("worker-one", 1, 0, "agent"));
		SimulatedWorker other = this.fixture.worker("other", 1_000);
		this.fixture.runSchedulingRound();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	@Test
	void appliesDepartureReadBeforeJobsOnlyToRunsOfThatIncarnation() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.workers.clear();
		this.fixture.dispatcher = this.fixture.newDispatcher();
		this.fixture.reports = new ReportProcessor(this.fixture.dispatcher, this.fixture.imagePressure);
		this.fixture.reports.departed("one", new Departure("worker-one", 1, 0, "agent"));
		this.fixture.restoreJobs();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.WAITING_AFTER_LOSS);
		this.fixture.takeOver();
		this.fixture.reports.departed("one", new Departure("worker-one", 2, 0, "agent"));
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

	/**
	 * An agent that follows the new leader accepts no lease extension from the former
	 * one, so the lease of its unresponsive worker counts from the first report of the
	 * agent.
	 */
	@Test
	void losesRunsOfUnresponsiveWorkerOneLeaseAfterFirstReportOfAgent() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.takeOver();
		this.fixture.reports.reported(worker.report().toBuilder().setWorkerAnswers(false).build(), true);
		this.fixture.time.advance(Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status()).isEqualTo(TaskStatus.WAITING_AFTER_LOSS);
	}

	/**
	 * An agent that holds a filler at pace 0 next to a busy service also stops its
	 * progress. When the filler gets its pace back, the time at pace 0 must not count as
	 * a stall.
	 */
	@Test
	void doesNotConsiderThrottledFillerStalledAfterPaceIsRestored() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("0123456789abcdef", new StepBuilder().milliCores(1_000).filler("image").build());
		this.fixture.runSchedulingRound();
		TaskKey task = this.fixture.task("0123456789abcdef", 0, 0).key();
		worker.pace(task, 0);
		for (int report = 0; report < 20; report++) {
			this.fixture.report(worker);
			this.fixture.time.advance(Duration.ofMillis(200));
		}
		worker.pace(task, 100);
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).isEmpty();
		assertThat(this.fixture.hostAssessments).doesNotContain("suspected");
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT);
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).hasSize(1);
	}

	/**
	 * A report arrives every few milliseconds while the stalled run is being stopped. The
	 * worker must be reported as suspected only once.
	 */
	@Test
	void suspectsWorkerOfStalledTaskOnlyOnce() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT);
		for (int report = 0; report < 20; report++) {
			assertThat(this.fixture.reports.reported(worker.report(), true).stops()).hasSize(1);
			this.fixture.time.advance(Duration.ofMillis(20));
		}
		assertThat(this.fixture.hostAssessments).containsOnlyOnce("suspected");
	}

	/**
	 * The agent of a worker that does not answer repeats its last lists, in which no run
	 * makes progress.
	 */
	@Test
	void doesNotConsiderRunsOfSilentWorkerStalled() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		for (int seconds = 1; seconds < 6; seconds++) {
			this.fixture.time.advance(Duration.ofSeconds(1));
			HostReport silent = worker.reportWithLists(Duration.ofSeconds(seconds))
				.toBuilder()
				.setWorkerAnswers(false)
				.build();
			assertThat(this.fixture.reports.reported(silent, true).stops()).isEmpty();
		}
		assertThat(this.fixture.hostAssessments).doesNotContain("suspected");
	}

	/**
	 * A start without an answer is pending until the worker lists the run or confirms its
	 * stop, and makes no progress until then.
	 */
	@Test
	void doesNotConsiderPendingStartStalled() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		HostReport listed = worker.report();
		HostReport pending = listed.toBuilder().clearRunning().addAllPending(listed.getRunningList()).build();
		this.fixture.reports.reported(pending, true);
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT.plusSeconds(1));
		assertThat(this.fixture.reports.reported(pending, true).stops()).isEmpty();
		this.fixture.reports.reported(worker.report(), true);
		this.fixture.time.advance(ReportProcessor.STALL_TIMEOUT.minusMillis(100));
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).isEmpty();
		this.fixture.time.advance(Duration.ofMillis(100));
		assertThat(this.fixture.reports.reported(worker.report(), true).stops()).hasSize(1);
	}

	@Test
	void passesEvidenceForLostRunToListener() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		worker.running.clear();
		this.fixture.reports.reported(worker.report().toBuilder().setLife("next").setListsAgeMillis(40).build(), true);
		this.fixture.runSchedulingRound();
		this.fixture.time.advance(Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		assertThat(this.fixture.lostRuns).containsExactly(
				new DispatchFixture.LostRun("not running", new Evidence("next", Duration.ofMillis(40))),
				new DispatchFixture.LostRun("lease lapsed",
						new Evidence("", Duration.ofSeconds(7), EvidenceBasis.LEASE_EXTENSION)));
	}

	/**
	 * Guards against a lost lease of which nobody can tell from when it was counted: the
	 * leader may have waited for a host that never reported to it, or for one whose
	 * worker was silent when it first reported.
	 */
	@ParameterizedTest
	@EnumSource(names = { "FORMER_LEADERS", "FIRST_REPORT", "LEASE_EXTENSION" })
	void lostLeaseTellsFromWhenItWasCounted(EvidenceBasis basis) {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.takeOver();
		long takeoverNanos = this.fixture.time.nanoTime();
		this.fixture.time.advance(Duration.ofSeconds(1));
		if (basis != EvidenceBasis.FORMER_LEADERS) {
			this.fixture.reports.reported(
					worker.report().toBuilder().setWorkerAnswers(basis == EvidenceBasis.LEASE_EXTENSION).build(), true);
		}
		this.fixture.time.advance(Duration.ofSeconds(18));
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), takeoverNanos);
		assertThat(this.fixture.lostRuns).extracting((lost) -> lost.evidence().basis()).containsExactly(basis);
	}

	/**
	 * The start time of a worker comes from the wall clock of its host, which may jump. A
	 * lower start time is a new incarnation as well.
	 */
	@Test
	void assignsTasksToWorkerWhoseClockWasSetBack() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000);
		worker.restart();
		this.fixture.report(worker);
		worker.restart();
		worker.description = worker.description.toBuilder().setBorn(1).build();
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).extracting(StartOrder::getWorkerBorn).containsExactly(1L);
	}

}
