package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how long a task waits for its run on a worker that has fallen silent before a new
 * leader took over. A leader that counts a whole lease from the first report of the agent
 * keeps the task down for up to 6.4 s after the run has ended; one that counts less than
 * a lease from the last answer of the worker starts a second run beside the first.
 */
class RunsOfSilentWorkersAfterTakeoverTests {

	private static final String JOB = "0123456789abcdef";

	private static final Duration LEASE_TIMEOUT = DispatchFixture.SETTINGS.leaseTimeout();

	private static final Duration UNREACHABLE_TIMEOUT = Duration.ofSeconds(12).plus(LEASE_TIMEOUT);

	private static final Duration SHORT_TIME = Duration.ofMillis(1);

	private static final long EPOCH = 2;

	/**
	 * Time after the takeover for which the former leader extends leases.
	 */
	private static final Duration FORMER_EXTENSIONS = Duration.ofSeconds(10);

	private final DispatchFixture fixture = new DispatchFixture();

	private long takeoverNanos;

	/**
	 * Starts a task on a worker.
	 * @return the worker
	 */
	private SimulatedWorker workerWithRun() {
		SimulatedWorker worker = this.fixture.worker("silent", 1_000);
		this.fixture.submit(JOB, DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		return worker;
	}

	/**
	 * Replaces the leader by a new one, to which another worker reports first.
	 * @return the other worker
	 */
	private SimulatedWorker takeOver() {
		this.fixture.takeOver();
		this.takeoverNanos = this.fixture.time.nanoTime();
		return this.fixture.worker("other", 1_000);
	}

	private ReportProcessor.Response receive(HostReport report) {
		return this.fixture.reports.reported(report, true);
	}

	private void expireLeasesAndSchedule() {
		this.fixture.reports.expireLeases(UNREACHABLE_TIMEOUT, this.takeoverNanos);
		this.fixture.runSchedulingRound();
	}

	private void advanceWhileReporting(SimulatedWorker worker, Duration duration) {
		this.fixture.time.advance(duration);
		this.fixture.report(worker);
	}

	private TaskStatus status() {
		return this.fixture.task(JOB, 0, 0).status();
	}

	@Test
	void startsTaskOfWorkerSilentForMoreThanLeaseAfterFirstReportOfAgent() {
		SimulatedWorker silent = workerWithRun();
		this.fixture.time.advance(Duration.ofSeconds(7));
		SimulatedWorker other = takeOver();
		receive(silent.reportOfSilence(Duration.ofSeconds(7)));
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
		assertThat(this.fixture.lostRuns).extracting(DispatchFixture.LostRun::evidence)
			.containsExactly(new Evidence("", Duration.ofSeconds(7), EvidenceBasis.FIRST_REPORT));
	}

	@Test
	void startsTaskOneLeaseAfterLastAnswerOfSilentWorker() {
		SimulatedWorker silent = workerWithRun();
		this.fixture.time.advance(Duration.ofSeconds(4));
		SimulatedWorker other = takeOver();
		receive(silent.reportOfSilence(Duration.ofSeconds(4)));
		advanceWhileReporting(other, LEASE_TIMEOUT.minusSeconds(4));
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceWhileReporting(other, SHORT_TIME);
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The worker has died with the former agent, so the agent has heard no announcement
	 * and its reports name no worker.
	 */
	@Test
	void startsTaskOneLeaseAfterStartOfRestartedAgentWithoutWorker() {
		SimulatedWorker silent = workerWithRun();
		SimulatedWorker other = takeOver();
		receive(silent.reportOfRestartedAgent(Duration.ofSeconds(3)));
		advanceWhileReporting(other, LEASE_TIMEOUT.minusSeconds(3));
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceWhileReporting(other, SHORT_TIME);
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The host comes back after the last extension that a former leader may have sent. It
	 * must not wait for a whole lease once more.
	 */
	@Test
	void startsTaskOneLeaseAfterTheFormerLeadersAlthoughItsHostReportsLater() {
		SimulatedWorker silent = workerWithRun();
		SimulatedWorker other = takeOver();
		this.fixture.reports.formerLeaders(2, this.takeoverNanos);
		advanceWhileReporting(other, LEASE_TIMEOUT.minusSeconds(1));
		receive(silent.reportOfRestartedAgent(SHORT_TIME));
		advanceWhileReporting(other, Duration.ofSeconds(1));
		expireLeasesAndSchedule();
		assertThat(status()).isEqualTo(TaskStatus.PLACED);
		advanceWhileReporting(other, SHORT_TIME);
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The worker was cut off from its agent, and its lease has almost lapsed.
	 */
	@Test
	void startsNoSecondRunIfWorkerAnswersAgainBeforeItsLeaseLapses() {
		SimulatedWorker worker = workerWithRun();
		this.fixture.time.advance(Duration.ofSeconds(6));
		SimulatedWorker other = takeOver();
		receive(worker.reportOfSilence(Duration.ofSeconds(6)));
		expireLeasesAndSchedule();
		this.fixture.time.advance(Duration.ofMillis(400));
		assertThat(receive(worker.report()).leaseStamp()).isPositive();
		advanceWhileReporting(other, LEASE_TIMEOUT);
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		assertThat(other.executedOrders).isEmpty();
	}

	/**
	 * The wall clock of the host was set forward, or the host was suspended. The age of
	 * the lists includes that, although the worker may have answered just before.
	 */
	@Test
	void startsNoSecondRunBecauseWallClockOfHostWasSetForward() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOver();
		receive(worker.reportOfSilence(Duration.ofSeconds(1)).toBuilder().setListsAgeMillis(20_000).build());
		advanceWhileReporting(other, LEASE_TIMEOUT.minusSeconds(1));
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		assertThat(other.executedOrders).isEmpty();
	}

	/**
	 * An agent of the previous version does not tell when its worker could last extend a
	 * lease.
	 */
	@Test
	void countsWholeLeaseFromFirstReportOfAgentOfPreviousVersion() {
		SimulatedWorker silent = workerWithRun();
		this.fixture.time.advance(Duration.ofSeconds(7));
		SimulatedWorker other = takeOver();
		receive(silent.reportOfSilence(Duration.ofSeconds(7)).toBuilder().clearLeaseBasisAgeMillis().build());
		advanceWhileReporting(other, LEASE_TIMEOUT);
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceWhileReporting(other, SHORT_TIME);
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The age in later reports must not shorten a lease that this leader has extended.
	 */
	@Test
	void countsLeaseFromOwnExtensionAfterFirstReport() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOver();
		this.fixture.report(worker);
		this.fixture.time.advance(Duration.ofSeconds(4));
		receive(worker.reportOfSilence(Duration.ofSeconds(10)));
		advanceWhileReporting(other, LEASE_TIMEOUT.minusSeconds(4));
		expireLeasesAndSchedule();
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceWhileReporting(other, SHORT_TIME);
		expireLeasesAndSchedule();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The agent repeats the last lists of its silent worker, with the run that has been
	 * declared lost.
	 */
	@Test
	void startsTaskAlthoughOldListsOfSilentWorkerNameItsRun() {
		SimulatedWorker silent = workerWithRun();
		SimulatedWorker other = this.fixture.worker("other", 1_000);
		advanceWhileReporting(other, Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(UNREACHABLE_TIMEOUT, this.takeoverNanos);
		assertThat(status()).isEqualTo(TaskStatus.WAITING_AFTER_LOSS);
		ReportProcessor.Response response = receive(silent.reportOfSilence(Duration.ofSeconds(7)));
		this.fixture.runSchedulingRound();
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
		assertThat(response.stops()).isEmpty();
	}

	/**
	 * The worker may still run what its lists named less than a lease ago, whatever the
	 * wall clock of its host says.
	 */
	@Test
	void taskWaitsWhileListsThatMayBeYoungerThanLeaseNameItsRun() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = this.fixture.worker("other", 1_000);
		advanceWhileReporting(other, Duration.ofSeconds(7));
		this.fixture.reports.expireLeases(UNREACHABLE_TIMEOUT, this.takeoverNanos);
		for (long basisAgeMillis : new long[] { 0, 1, LEASE_TIMEOUT.toMillis() }) {
			HostReport report = worker.reportOfSilence(Duration.ofSeconds(20))
				.toBuilder()
				.setLeaseBasisAgeMillis(basisAgeMillis)
				.build();
			assertThat(receive(report).stops()).hasSize(1);
			this.fixture.runSchedulingRound();
			assertThat(other.executedOrders).isEmpty();
		}
	}

	private void advanceAndExpire(SimulatedWorker worker, Duration duration) {
		advanceWhileReporting(worker, duration);
		this.fixture.reports.expireLeases(LEASE_TIMEOUT, this.takeoverNanos + FORMER_EXTENSIONS.toNanos());
		this.fixture.runSchedulingRound();
	}

	private SimulatedWorker takeOverFromLeaderWithoutStore() {
		SimulatedWorker other = takeOver();
		this.fixture.reports.formerLeaders(EPOCH, this.takeoverNanos + FORMER_EXTENSIONS.toNanos());
		return other;
	}

	/**
	 * The agent may have restarted since, and follow the former leader.
	 */
	@Test
	void waitsForFormerLeaderAlthoughAgentHasReportedIfWorkerAcceptsItsCalls() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOverFromLeaderWithoutStore();
		receive(worker.report().toBuilder().setFencedEpoch(EPOCH - 1).build());
		advanceAndExpire(other, LEASE_TIMEOUT.plus(SHORT_TIME));
		advanceAndExpire(other, FORMER_EXTENSIONS.minus(SHORT_TIME));
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceAndExpire(other, SHORT_TIME);
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
		assertThat(this.fixture.lostRuns).extracting((lost) -> lost.evidence().basis())
			.containsExactly(EvidenceBasis.FORMER_LEADERS);
	}

	@Test
	void countsLeaseFromOwnExtensionIfWorkerRejectsFormerLeaders() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOverFromLeaderWithoutStore();
		receive(worker.report().toBuilder().setFencedEpoch(EPOCH).build());
		// A restarted agent that has not read the lists yet takes nothing back.
		receive(worker.reportOfRestartedAgent(SHORT_TIME));
		advanceAndExpire(other, LEASE_TIMEOUT);
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceAndExpire(other, SHORT_TIME);
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * Former leaders cannot extend a lease that has lapsed.
	 */
	@Test
	void startsTaskOnceReportsShowThatLeaseOfSilentWorkerHasLapsed() {
		SimulatedWorker silent = workerWithRun();
		SimulatedWorker other = takeOverFromLeaderWithoutStore();
		receive(silent.reportOfSilence(SHORT_TIME));
		advanceAndExpire(other, LEASE_TIMEOUT);
		receive(silent.reportOfSilence(LEASE_TIMEOUT));
		advanceAndExpire(other, SHORT_TIME);
		assertThat(this.fixture.lostRuns).isEmpty();
		receive(silent.reportOfSilence(LEASE_TIMEOUT.plus(SHORT_TIME)));
		advanceAndExpire(other, SHORT_TIME);
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * The agent has restarted between two reports, and followed the former leader before
	 * its worker rejected it. This leader may not extend leases yet.
	 */
	@Test
	void countsLeaseFromListsThatWereReadBeforeWorkerRejectedFormerLeaders() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOverFromLeaderWithoutStore();
		this.fixture.reports
			.reported(worker.report().toBuilder().setFencedEpoch(EPOCH - 1).setLeaseBasisAgeMillis(1).build(), false);
		advanceAndExpire(other, Duration.ofSeconds(5));
		this.fixture.reports
			.reported(worker.report().toBuilder().setFencedEpoch(EPOCH).setLeaseBasisAgeMillis(1).build(), false);
		advanceAndExpire(other, LEASE_TIMEOUT.minus(SHORT_TIME));
		assertThat(this.fixture.lostRuns).isEmpty();
		advanceAndExpire(other, SHORT_TIME);
		assertThat(other.executedOrders).extracting(StartOrder::getRun).containsExactly(2);
	}

	/**
	 * What the former incarnation of the worker rejects says nothing about the next one.
	 */
	@Test
	void nextIncarnationOfWorkerDoesNotRejectFormerLeaders() {
		SimulatedWorker worker = workerWithRun();
		SimulatedWorker other = takeOverFromLeaderWithoutStore();
		receive(worker.report().toBuilder().setFencedEpoch(EPOCH).build());
		HostReport next = worker.report();
		receive(next.toBuilder()
			.setWorker(next.getWorker().toBuilder().setBorn(next.getWorker().getBorn() + 1))
			.build());
		advanceAndExpire(other, LEASE_TIMEOUT.plus(SHORT_TIME));
		assertThat(this.fixture.lostRuns).isEmpty();
	}

}
