package org.crocuspost.host;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.dispatch.Departure;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.job.TaskKey;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.TaskTraits;
import org.crocuspost.wire.TraitsOfRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests orders to a worker that answers late, does not answer or has restarted.
 */
class HostAgentTests {

	private static final TaskKey TASK = new TaskKey("0123456789abcdef", 0, 0, 0);

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	private final ScriptedWorker worker = new ScriptedWorker();

	private final List<Departure> departures = new ArrayList<>();

	private final HostAgent agent = new HostAgent(
			new HostAgentSettings("host", Duration.ofSeconds(6), Duration.ofSeconds(1)),
			new HostMetrics(new PrometheusRegistry()), this.worker, LeaderPort::new, this.departures::add, this.time,
			this.time);

	private void startAgent() {
		this.agent.start();
		this.agent.workerAnnounced(announcement("worker", 1, 1));
		this.time.advance(Duration.ofSeconds(1));
	}

	private static WorkerAnnouncement announcement(String id, long born, long sequence) {
		return new WorkerAnnouncement(id, born, "service", "domain", false, 0, 0, 4_000, 4_000, 0, List.of(), sequence);
	}

	private static EndedTask end(int number) {
		return EndedTask.newBuilder()
			.setNumber(number)
			.setTask(TaskNames.name(new TaskKey("fedcba9876543210", 0, 0, number)))
			.setRun(1)
			.setKind("done")
			.build();
	}

	private static RunningTask run(int number, int load) {
		return RunningTask.newBuilder()
			.setTask(TaskNames.name(new TaskKey("fedcba9876543210", 0, 0, number)))
			.setRun(1)
			.setLoad(load)
			.build();
	}

	private LeaderMessage grantAndStart(String workerId, long born) {
		return LeaderMessage.newBuilder()
			.setWorkerBorn(born)
			.setLeaseStamp(this.worker.clockMillis())
			.setOrder(1)
			.addStarts(StartOrder.newBuilder()
				.setTask(TaskNames.name(TASK))
				.setRun(1)
				.setSpecification("text")
				.setWorker(workerId)
				.setWorkerBorn(born))
			.build();
	}

	@Test
	void startWithoutAnAnswerIsStoppedUntilTheWorkerConfirmsTheStop() {
		startAgent();
		this.worker.startOutcome = OrderOutcome.Kind.UNKNOWN;
		this.worker.stopOutcome = OrderOutcome.Kind.UNKNOWN;
		this.agent.messageReceived(grantAndStart("worker", 1));
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.worker.stops).hasSizeGreaterThan(2);
		this.worker.stopOutcome = OrderOutcome.Kind.OBEYED;
		this.time.advance(Duration.ofSeconds(2));
		int confirmed = this.worker.stops.size();
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.worker.stops).hasSize(confirmed);
	}

	@Test
	void leaseCountsFromTheWorkersClockBeforeTheReport() {
		startAgent();
		long stamp = this.worker.clockMillis();
		this.agent.messageReceived(LeaderMessage.newBuilder().setLeaseStamp(stamp).setWorkerBorn(1).build());
		this.time.advance(Duration.ofSeconds(5));
		assertThat(this.worker.leases).last().isEqualTo(stamp + 6_000);
	}

	@Test
	void reportNamesTheWorkerOnlyAfterItsListsHaveBeenRead() {
		assertThat(this.agent.composeReport().getWorker().getId()).isEmpty();
		this.agent.workerAnnounced(announcement("worker", 1, 1));
		assertThat(this.agent.composeReport().getWorker().getId()).isEmpty();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getWorker().getId()).isEqualTo("worker");
	}

	@Test
	void nothingStartsWithoutALease() {
		startAgent();
		this.agent.messageReceived(grantAndStart("worker", 1).toBuilder().setLeaseStamp(0).build());
		assertThat(this.worker.starts).isEmpty();
	}

	@Test
	void orderForAnEarlierIncarnationOfTheWorkerIsRefused() {
		startAgent();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
		this.agent.messageReceived(grantAndStart("worker", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	/**
	 * A worker that restarts keeps its identity, so a start without an answer may still
	 * take effect in its new incarnation.
	 */
	@Test
	void startWithoutAnAnswerIsStoppedInTheNextIncarnationOfTheWorker() {
		startAgent();
		this.worker.startOutcome = OrderOutcome.Kind.UNKNOWN;
		this.worker.stopOutcome = OrderOutcome.Kind.UNKNOWN;
		this.agent.messageReceived(grantAndStart("worker", 1));
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		int before = this.worker.stops.size();
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.worker.stops).hasSizeGreaterThan(before + 1);
		assertThat(this.agent.composeReport().getPendingList()).hasSize(1);
		this.worker.stopOutcome = OrderOutcome.Kind.OBEYED;
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.agent.composeReport().getPendingList()).isEmpty();
	}

	/**
	 * The answer to a stop arrives after the worker has restarted.
	 */
	@Test
	void stopConfirmedByAnEarlierIncarnationDoesNotSettleAStart() {
		startAgent();
		this.worker.startOutcome = OrderOutcome.Kind.UNKNOWN;
		this.worker.withholdStopAnswers = true;
		this.agent.messageReceived(grantAndStart("worker", 1));
		this.time.advance(Duration.ofMillis(300));
		assertThat(this.worker.withheldStopAnswers).hasSize(1);
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.worker.withheldStopAnswers.get(0).accept(new OrderOutcome(OrderOutcome.Kind.OBEYED, "scripted"));
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.agent.composeReport().getPendingList()).hasSize(1);
		assertThat(this.worker.withheldStopAnswers).hasSizeGreaterThan(1);
	}

	@Test
	void drainingWorkerReceivesNoNewRuns() {
		startAgent();
		WorkerAnnouncement latest = announcement("worker", 1, 2);
		this.agent.workerAnnounced(new WorkerAnnouncement(latest.id(), latest.born(), latest.service(),
				latest.failureDomain(), true, 2_000, latest.coldMillis(), latest.milliCores(), latest.memoryMegabytes(),
				latest.accelerators(), latest.labels(), latest.sequence()));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
	}

	@Test
	void delayedAnnouncementOfAnEarlierIncarnationIsIgnored() {
		startAgent();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("other", 2, 1));
		this.agent.workerAnnounced(announcement("worker", 1, 9));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("other", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	/**
	 * An answer of the leader arrives after the worker has restarted: the numbers of its
	 * ends and its clock have started again.
	 */
	@Test
	void answerForAnEarlierIncarnationNeitherAcknowledgesEndsNorExtendsLeases() {
		startAgent();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.agent.messageReceived(
				LeaderMessage.newBuilder().setWorkerBorn(1).setRecordedEnds(12).setLeaseStamp(500_000).build());
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.worker.acknowledged).last().isEqualTo(0L);
		assertThat(this.worker.leases).last().isEqualTo(0L);
	}

	/**
	 * The worker has restarted under its identity and has not announced itself yet.
	 */
	@Test
	void newIncarnationOfTheWorkerIsDetectedFromItsAnswers() {
		startAgent();
		this.agent.messageReceived(LeaderMessage.newBuilder().setWorkerBorn(1).setRecordedEnds(12).build());
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.worker.acknowledged).last().isEqualTo(12L);
		this.worker.born = 2;
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.worker.acknowledged).last().isEqualTo(0L);
		assertThat(this.agent.composeReport().getWorker().getId()).isEmpty();
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
	}

	/**
	 * A call that is delivered late would take effect in the next incarnation of the same
	 * identity.
	 */
	@Test
	void lateOrderForAnEarlierIncarnationOfTheWorkerIsFencedInTheNext() {
		startAgent();
		long former = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.born = 2;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences).last().satisfies((fence) -> assertThat(fence).isGreaterThan(former));
		long detected = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.born = 3;
		this.agent.workerAnnounced(announcement("worker", 3, 1));
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences).last().satisfies((fence) -> assertThat(fence).isGreaterThan(detected));
	}

	/**
	 * The departure message of the worker may arrive after its next incarnation has
	 * announced itself.
	 */
	@Test
	void delayedDepartureOfAnEarlierIncarnationDoesNotAbandonRuns() {
		startAgent();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.departureAnnounced("worker");
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.agent.composeReport().getWorker().getLeft()).isFalse();
		this.agent.workerAnnounced(announcement("worker", 2, 2));
		this.agent.messageReceived(grantAndStart("worker", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	@Test
	void workerThatDepartsAndNoLongerAnswersIsReportedAsLeft() {
		startAgent();
		this.agent.departureAnnounced("worker");
		this.worker.unreachable = true;
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.agent.composeReport().getWorker().getLeft()).isTrue();
		assertThat(this.departures).singleElement().satisfies((departure) -> {
			assertThat(departure.worker()).isEqualTo("worker");
			assertThat(departure.born()).isEqualTo(1);
		});
	}

	/**
	 * Start times of incarnations come from the wall clock of the worker's host, which
	 * may jump.
	 */
	@Test
	void newIncarnationIsAcceptedAfterTheWorkersClockWasSetBack() {
		startAgent();
		this.worker.born = 7;
		this.agent.workerAnnounced(announcement("worker", 7, 1));
		this.time.advance(Duration.ofSeconds(1));
		this.worker.born = 5;
		this.time.advance(Duration.ofSeconds(1));
		this.agent.workerAnnounced(announcement("worker", 5, 1));
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getWorker().getBorn()).isEqualTo(5);
	}

	@Test
	void nothingIsAcknowledgedAfterAFailedCall() {
		startAgent();
		this.agent.messageReceived(LeaderMessage.newBuilder().setWorkerBorn(1).setRecordedEnds(12).build());
		this.worker.fenced = true;
		this.time.advance(Duration.ofSeconds(4));
		assertThat(this.worker.acknowledged).last().isEqualTo(0L);
		this.worker.fenced = false;
		this.time.advance(Duration.ofSeconds(4));
		assertThat(this.worker.acknowledged).last().isEqualTo(12L);
	}

	/**
	 * The worker may have restarted: its new incarnation would take the lease of the
	 * former one, whose clock was ahead, as a lease of the maximum duration.
	 */
	@Test
	void nothingStartsBetweenAFailedCallAndTheNextAnswer() {
		startAgent();
		this.worker.unreachable = true;
		this.time.advance(Duration.ofMillis(500));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
		assertThat(this.agent.composeReport().getWorkerAnswers()).isFalse();
		this.worker.unreachable = false;
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).hasSize(1);
	}

	@Test
	void fullListOfEndsIsReportedAsIncomplete() {
		startAgent();
		assertThat(this.agent.composeReport().getEndsFollow()).isFalse();
		this.worker.ended = IntStream.rangeClosed(1, 500).mapToObj(HostAgentTests::end).toList();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getEndsFollow()).isTrue();
		this.worker.ended = List.of();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getEndsFollow()).isFalse();
	}

	@Test
	void fencingTokenIsRaisedWhenTheWorkerHasSeenAHigherOne() {
		startAgent();
		long before = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.fenced = true;
		this.time.advance(Duration.ofSeconds(1));
		this.worker.fenced = false;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences.get(this.worker.fences.size() - 1)).isGreaterThan(before);
	}

	private static WorkerAnnouncement withCapacity(WorkerAnnouncement announcement, int milliCores) {
		return new WorkerAnnouncement(announcement.id(), announcement.born(), announcement.service(),
				announcement.failureDomain(), announcement.draining(), 0, 0, milliCores, announcement.memoryMegabytes(),
				0, List.of(), announcement.sequence());
	}

	private LeaderMessage startOf(int number, int milliCores) {
		return LeaderMessage.newBuilder()
			.setWorkerBorn(1)
			.setLeaseStamp(this.worker.clockMillis())
			.setOrder(number)
			.addStarts(StartOrder.newBuilder()
				.setTask(run(number, 0).getTask())
				.setRun(1)
				.setMilliCores(milliCores)
				.setWorker("worker")
				.setWorkerBorn(1))
			.build();
	}

	/**
	 * The leader has sent the orders before it heard that the worker has shrunk. A run
	 * that is being stopped uses its capacity until its end is listed.
	 */
	@Test
	void orderThatNoLongerFitsIntoTheWorkerIsRefused() {
		startAgent();
		this.agent.messageReceived(startOf(1, 1_000));
		this.worker.running = List.of(run(1, 0));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.workerAnnounced(withCapacity(announcement("worker", 1, 2), 2_000));
		this.agent.messageReceived(startOf(2, 1_500));
		this.agent.messageReceived(startOf(3, 1_000));
		this.agent.messageReceived(startOf(4, 1_000));
		assertThat(this.worker.starts).extracting(TaskKey::index).containsExactly(1, 3);
		this.worker.running = List.of(run(3, 0));
		this.worker.ended = List.of(end(1));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.workerAnnounced(withCapacity(announcement("worker", 1, 3), 2_000));
		this.agent.messageReceived(startOf(4, 1_000));
		assertThat(this.worker.starts).extracting(TaskKey::index).containsExactly(1, 3, 4);
	}

	@Test
	void changedCapacityIsReported() {
		startAgent();
		this.agent.workerAnnounced(withCapacity(announcement("worker", 1, 2), 500));
		assertThat(this.agent.composeReport().getWorker().getMilliCores()).isEqualTo(500);
	}

	/**
	 * The worker may have shrunk while the agent was paused. Orders from before are read
	 * first.
	 */
	@Test
	void nothingStartsWhileTheAnnouncedCapacityIsOutOfDate() {
		startAgent();
		this.time.advance(Duration.ofSeconds(2));
		this.agent.messageReceived(startOf(1, 1_000));
		assertThat(this.worker.starts).isEmpty();
		assertThat(this.agent.composeReport().getWorker().getMilliCores()).isZero();
		this.agent.workerAnnounced(announcement("worker", 1, 2));
		assertThat(this.agent.composeReport().getWorker().getMilliCores()).isEqualTo(4_000);
		this.agent.messageReceived(startOf(2, 1_000));
		assertThat(this.worker.starts).hasSize(1);
		this.time.shiftWallClock(Duration.ofSeconds(10));
		this.agent.messageReceived(startOf(3, 1_000));
		assertThat(this.worker.starts).hasSize(1);
	}

	/**
	 * The monotonic clock stands still while the host is suspended. The first report
	 * afterwards must not present old lists as new ones.
	 */
	@Test
	void ageOfTheListsIncludesASuspension() {
		startAgent();
		this.worker.unreachable = true;
		this.time.shiftWallClock(Duration.ofSeconds(4));
		assertThat(this.agent.composeReport().getListsAgeMillis()).isGreaterThanOrEqualTo(4_000);
		assertThat(this.agent.composeReport().getWorkerAnswers()).isFalse();
	}

	private long leaseBasisAgeMillis() {
		return this.agent.composeReport().getLeaseBasisAgeMillis();
	}

	/**
	 * A leader that took a longer age for true would start a second run while the first
	 * goes on. The monotonic clock stands still while the host is suspended, so the age
	 * may be too short.
	 */
	@Test
	void leaseBasisIsNotOlderBecauseTheWallClockWasSetForward() {
		startAgent();
		this.worker.unreachable = true;
		this.time.advance(Duration.ofSeconds(2));
		long before = leaseBasisAgeMillis();
		assertThat(before).isGreaterThanOrEqualTo(2_000 - HostAgentSettings.HOLD_MAXIMUM_WAIT.toMillis());
		this.time.shiftWallClock(Duration.ofSeconds(10));
		assertThat(leaseBasisAgeMillis()).isEqualTo(before);
		this.time.shiftWallClock(Duration.ofSeconds(-20));
		assertThat(leaseBasisAgeMillis()).isEqualTo(before);
	}

	@Test
	void leaseBasisIsTheMomentOfTheLastListsOfASilentWorker() {
		startAgent();
		this.worker.unreachable = true;
		this.time.advance(Duration.ofSeconds(8));
		HostReport report = this.agent.composeReport();
		// A call that was in flight is still answered.
		assertThat(report.getLeaseBasisAgeMillis()).isEqualTo(report.getListsAgeMillis())
			.isGreaterThanOrEqualTo(8_000 - HostAgentSettings.HOLD_MAXIMUM_WAIT.toMillis());
	}

	/**
	 * The worker has died with the former agent and does not announce itself.
	 */
	@Test
	void leaseBasisIsTheStartOfAnAgentThatHasNotHeardOfItsWorker() {
		this.time.advance(Duration.ofSeconds(5));
		assertThat(leaseBasisAgeMillis()).isZero();
		this.agent.start();
		assertThat(leaseBasisAgeMillis()).isEqualTo(1);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(leaseBasisAgeMillis()).isEqualTo(3_000);
	}

	/**
	 * None of these is an answer with lists, on which a lease could rest.
	 */
	@Test
	void leaseBasisIsNotYoungerAfterAnEventWithoutLists() {
		startAgent();
		this.worker.born = 2;
		this.time.advance(Duration.ofSeconds(2));
		assertThat(leaseBasisAgeMillis()).isGreaterThanOrEqualTo(2_000);
		this.worker.unreachable = true;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.time.advance(Duration.ofSeconds(1));
		assertThat(leaseBasisAgeMillis()).isGreaterThanOrEqualTo(3_000);
		this.agent.departureAnnounced("worker");
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getWorker().getLeft()).isTrue();
		assertThat(leaseBasisAgeMillis()).isGreaterThanOrEqualTo(4_000);
	}

	/**
	 * A run whose lease outlives the moment by more than a lease goes on while the leader
	 * starts the next one.
	 */
	@Test
	void noLeaseEndsMoreThanOneLeaseAfterItsBasis() {
		startAgent();
		for (int step = 0; step < 300; step++) {
			if (step % 7 == 0) {
				this.agent.messageReceived(LeaderMessage.newBuilder()
					.setWorkerBorn(1)
					.setLeaseStamp(this.agent.composeReport().getLeaseStamp())
					.build());
			}
			this.worker.unreachable = step % 60 >= 35;
			this.time.advance(Duration.ofMillis(100));
			long latestEnd = this.worker.leases.stream().mapToLong(Long::longValue).max().orElse(0);
			assertThat(latestEnd).isLessThanOrEqualTo(this.worker.clockMillis() - leaseBasisAgeMillis() + 6_000);
		}
		assertThat(this.worker.leases).anyMatch((lease) -> lease > 30_000);
	}

	/**
	 * Without further calls, all runs of the worker would end with their lease.
	 */
	@Test
	void leaseIsExtendedAfterAnUnexpectedErrorInOneAnswer() {
		startAgent();
		RunningTask service = run(1, 900);
		RunningTask filler = run(2, 1_000);
		this.agent.messageReceived(LeaderMessage.newBuilder()
			.addTraits(TraitsOfRun.newBuilder()
				.setTask(service.getTask())
				.setRun(1)
				.setTraits(TaskTraits.newBuilder().setTailTarget(100)))
			.addTraits(TraitsOfRun.newBuilder()
				.setTask(filler.getTask())
				.setRun(1)
				.setTraits(TaskTraits.newBuilder().setFiller(true).setPressure(2)))
			.build());
		this.worker.running = List.of(service, filler);
		this.worker.paceFails = true;
		assertThatIllegalStateException().isThrownBy(() -> this.time.advance(Duration.ofSeconds(1)));
		this.worker.paceFails = false;
		int before = this.worker.leases.size();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.leases).hasSizeGreaterThan(before);
	}

	/**
	 * Without its traits a filler runs at full pace beside services.
	 */
	@Test
	void traitsOfAPendingStartAreKeptWhenOldOnesAreRemoved() {
		startAgent();
		RunningTask service = run(1, 900);
		LeaderMessage.Builder message = grantAndStart("worker", 1).toBuilder();
		message.setStarts(0, message.getStarts(0).toBuilder().setTraits(TaskTraits.newBuilder().setFiller(true)));
		message.addTraits(TraitsOfRun.newBuilder()
			.setTask(service.getTask())
			.setRun(1)
			.setTraits(TaskTraits.newBuilder().setTailTarget(100)));
		this.worker.running = List.of(service);
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(message.build());
		LeaderMessage.Builder others = LeaderMessage.newBuilder().setWorkerBorn(1);
		IntStream.range(100, 1_200)
			.forEach(
					(number) -> others.addTraits(TraitsOfRun.newBuilder().setTask(run(number, 0).getTask()).setRun(1)));
		this.agent.messageReceived(others.build());
		this.worker.running = List.of(service,
				RunningTask.newBuilder().setTask(TaskNames.name(TASK)).setRun(1).setLoad(1_000).build());
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.worker.paced).contains(TASK);
	}

	/**
	 * Worker whose answers are set by a test.
	 */
	private final class ScriptedWorker implements WorkerCalls {

		private final List<TaskKey> starts = new ArrayList<>();

		private final List<TaskKey> stops = new ArrayList<>();

		private final List<Long> leases = new ArrayList<>();

		private final List<Long> fences = new ArrayList<>();

		private final List<Long> acknowledged = new ArrayList<>();

		private OrderOutcome.Kind startOutcome = OrderOutcome.Kind.OBEYED;

		private OrderOutcome.Kind stopOutcome = OrderOutcome.Kind.OBEYED;

		private final List<Consumer<OrderOutcome>> withheldStopAnswers = new ArrayList<>();

		private boolean withholdStopAnswers;

		private boolean fenced;

		private boolean unreachable;

		private long born = 1;

		private List<RunningTask> running = List.of();

		private boolean paceFails;

		private final List<TaskKey> paced = new ArrayList<>();

		private List<EndedTask> ended = List.of();

		private long clockMillis() {
			return HostAgentTests.this.time.nanoTime() / 1_000_000 + 1;
		}

		@Override
		public void hold(WorkerAnnouncement target, long fence, long acknowledgedEnds, long leaseUntilMillis,
				Duration maximumWait, Consumer<Either<OrderOutcome, WorkerState>> answer) {
			this.leases.add(leaseUntilMillis);
			this.acknowledged.add(acknowledgedEnds);
			this.fences.add(fence);
			if (this.unreachable) {
				answer.accept(Either.left(new OrderOutcome(OrderOutcome.Kind.NEVER_SENT, "connection refused")));
				return;
			}
			boolean refused = this.fenced;
			HostAgentTests.this.time.schedule(maximumWait,
					() -> answer.accept(refused ? Either.left(new OrderOutcome(OrderOutcome.Kind.FENCED, "fence"))
							: Either.right(new WorkerState(clockMillis(), this.born, this.running, this.ended))));
		}

		@Override
		public void start(WorkerAnnouncement target, long fence, RunStart run, long leaseUntilMillis,
				Consumer<OrderOutcome> answer) {
			this.starts.add(run.task());
			answer.accept(new OrderOutcome(this.startOutcome, "scripted"));
		}

		@Override
		public void stop(WorkerAnnouncement target, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer) {
			this.stops.add(task);
			if (this.withholdStopAnswers) {
				this.withheldStopAnswers.add(answer);
			}
			else {
				answer.accept(new OrderOutcome(this.stopOutcome, "scripted"));
			}
		}

		@Override
		public void pace(WorkerAnnouncement target, long fence, TaskKey task, int run, int percent,
				Consumer<OrderOutcome> answer) {
			if (this.paceFails) {
				throw new IllegalStateException("scripted");
			}
			this.paced.add(task);
			answer.accept(new OrderOutcome(OrderOutcome.Kind.OBEYED, ""));
		}

	}

}
