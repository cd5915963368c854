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
import org.crocuspost.wire.LeaderMessage;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Orders to a worker that answers late, not at all or as another life.
 */
class HostAgentTests {

	private static final TaskKey TASK = new TaskKey("0123456789abcdef", 0, 0, 0);

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	private final ScriptedWorker worker = new ScriptedWorker();

	private final List<Departure> departures = new ArrayList<>();

	private final HostAgent agent = new HostAgent(new HostAgentSettings("host", Duration.ofSeconds(6)),
			new HostMetrics(new PrometheusRegistry()), this.worker, LeaderPort::new, this.departures::add, this.time,
			this.time);

	private void begin() {
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
	void aStartWithoutAnAnswerIsStoppedUntilTheWorkerConfirms() {
		begin();
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
	void theLeaseCountsFromTheWorkersClockBeforeTheReport() {
		begin();
		long stamp = this.worker.clockMillis();
		this.agent.messageReceived(LeaderMessage.newBuilder().setLeaseStamp(stamp).setWorkerBorn(1).build());
		this.time.advance(Duration.ofSeconds(5));
		assertThat(this.worker.leases).last().isEqualTo(stamp + 6_000);
	}

	@Test
	void aReportNamesTheWorkerOnceItsListsAreRead() {
		assertThat(this.agent.composeReport().getWorker().getId()).isEmpty();
		this.agent.workerAnnounced(announcement("worker", 1, 1));
		assertThat(this.agent.composeReport().getWorker().getId()).isEmpty();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getWorker().getId()).isEqualTo("worker");
	}

	@Test
	void nothingStartsWithoutALease() {
		begin();
		this.agent.messageReceived(grantAndStart("worker", 1).toBuilder().setLeaseStamp(0).build());
		assertThat(this.worker.starts).isEmpty();
	}

	@Test
	void anOrderForAnEarlierLifeOfTheWorkerIsNotCarriedOut() {
		begin();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
		this.agent.messageReceived(grantAndStart("worker", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	/**
	 * The worker kept its identity, so a start without an answer may still act in its new
	 * life.
	 */
	@Test
	void aStartWithoutAnAnswerIsStoppedInTheNextLifeOfTheWorker() {
		begin();
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
	 * The answer to a stop crosses the restart of the worker.
	 */
	@Test
	void aStopThatAnEarlierLifeConfirmedDoesNotSettleAStart() {
		begin();
		this.worker.startOutcome = OrderOutcome.Kind.UNKNOWN;
		this.worker.withholdsStopAnswers = true;
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
	void aLeavingWorkerGetsNothingNew() {
		begin();
		WorkerAnnouncement present = announcement("worker", 1, 2);
		this.agent.workerAnnounced(new WorkerAnnouncement(present.id(), present.born(), present.service(),
				present.failureDomain(), true, 2_000, present.coldMillis(), present.milliCores(),
				present.memoryMegabytes(), present.accelerators(), present.labels(), present.sequence()));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
	}

	@Test
	void aDelayedAnnouncementOfAnEarlierLifeIsIgnored() {
		begin();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("other", 2, 1));
		this.agent.workerAnnounced(announcement("worker", 1, 9));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("other", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	/**
	 * An answer of the leader that crosses the restart of a worker: the numbers of ends
	 * and the clock start anew; spcs-lunchpay, scale-2 with seed 733111770451.
	 */
	@Test
	void anAnswerForAnEarlierLifeNeitherAcknowledgesEndsNorExtendsLeases() {
		begin();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.agent
			.messageReceived(LeaderMessage.newBuilder().setWorkerBorn(1).setRecordedEnds(12).setLeaseStamp(500_000).build());
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.worker.acknowledged).last().isEqualTo(0L);
		assertThat(this.worker.leases).last().isEqualTo(0L);
	}

	/**
	 * A worker that started again under its identity and has not announced itself yet;
	 * found by the fault soak with seed 3.
	 */
	@Test
	void aNewLifeOfTheWorkerIsNoticedByItsAnswers() {
		begin();
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
	 * A call that is carried out late would act in the next life of the same identity.
	 */
	@Test
	void aLateOrderOfAnEarlierLifeOfTheWorkerIsFencedOffInTheNext() {
		begin();
		long former = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.born = 2;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences).last().satisfies((fence) -> assertThat(fence).isGreaterThan(former));
		long noticed = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.born = 3;
		this.agent.workerAnnounced(announcement("worker", 3, 1));
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences).last().satisfies((fence) -> assertThat(fence).isGreaterThan(noticed));
	}

	/**
	 * The worker's farewell may arrive after its next life has announced itself.
	 */
	@Test
	void aDelayedDepartureOfAnEarlierLifeGivesNoRunsUp() {
		begin();
		this.worker.born = 2;
		this.agent.workerAnnounced(announcement("worker", 2, 1));
		this.time.advance(Duration.ofSeconds(1));
		this.agent.departureAnnounced("worker");
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.agent.composeReport().getWorker().getLeft()).isFalse();
		this.agent.messageReceived(grantAndStart("worker", 2));
		assertThat(this.worker.starts).hasSize(1);
	}

	@Test
	void aWorkerThatDepartsAndNoLongerAnswersHasLeft() {
		begin();
		this.agent.departureAnnounced("worker");
		this.worker.gone = true;
		this.time.advance(Duration.ofSeconds(2));
		assertThat(this.agent.composeReport().getWorker().getLeft()).isTrue();
		assertThat(this.departures).singleElement().satisfies((departure) -> {
			assertThat(departure.worker()).isEqualTo("worker");
			assertThat(departure.born()).isEqualTo(1);
		});
	}

	/**
	 * Births are compared by the wall clock of the worker's host, which may jump.
	 */
	@Test
	void aNewLifeOfAWorkerWhoseClockWasSetBackIsSeen() {
		begin();
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
	void nothingIsAcknowledgedAfterACallThatFailed() {
		begin();
		this.agent.messageReceived(LeaderMessage.newBuilder().setWorkerBorn(1).setRecordedEnds(12).build());
		this.worker.fenced = true;
		this.time.advance(Duration.ofSeconds(4));
		assertThat(this.worker.acknowledged).last().isEqualTo(0L);
		this.worker.fenced = false;
		this.time.advance(Duration.ofSeconds(4));
		assertThat(this.worker.acknowledged).last().isEqualTo(12L);
	}

	/**
	 * The worker may have started again: its new life would take the lease of the former
	 * one, whose clock was ahead, for its longest lease.
	 */
	@Test
	void nothingStartsBetweenACallThatFailedAndTheNextAnswer() {
		begin();
		this.worker.gone = true;
		this.time.advance(Duration.ofMillis(500));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).isEmpty();
		assertThat(this.agent.composeReport().getWorkerAnswers()).isFalse();
		this.worker.gone = false;
		this.time.advance(Duration.ofSeconds(1));
		this.agent.messageReceived(grantAndStart("worker", 1));
		assertThat(this.worker.starts).hasSize(1);
	}

	@Test
	void aFullListOfEndsIsReportedAsIncomplete() {
		begin();
		assertThat(this.agent.composeReport().getEndsFollow()).isFalse();
		this.worker.ended = IntStream.rangeClosed(1, 500).mapToObj(HostAgentTests::end).toList();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getEndsFollow()).isTrue();
		this.worker.ended = List.of();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.agent.composeReport().getEndsFollow()).isFalse();
	}

	@Test
	void aHigherFencingTokenIsTakenWhenTheWorkerKnowsOne() {
		begin();
		long before = this.worker.fences.get(this.worker.fences.size() - 1);
		this.worker.fenced = true;
		this.time.advance(Duration.ofSeconds(1));
		this.worker.fenced = false;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.worker.fences.get(this.worker.fences.size() - 1)).isGreaterThan(before);
	}

	/**
	 * Worker that answers as a test prescribes.
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

		private boolean withholdsStopAnswers;

		private boolean fenced;

		private boolean gone;

		private long born = 1;

		private List<EndedTask> ended = List.of();

		private long clockMillis() {
			return HostAgentTests.this.time.nanoTime() / 1_000_000 + 1;
		}

		@Override
		public void hold(WorkerAnnouncement life, long fence, long acknowledgedEnds, long leaseUntilMillis,
				Duration patience, Consumer<Either<OrderOutcome, WorkerState>> answer) {
			this.leases.add(leaseUntilMillis);
			this.acknowledged.add(acknowledgedEnds);
			this.fences.add(fence);
			if (this.gone) {
				answer.accept(Either.left(new OrderOutcome(OrderOutcome.Kind.NEVER_SENT, "connection refused")));
				return;
			}
			boolean refused = this.fenced;
			HostAgentTests.this.time.schedule(patience, () -> answer
				.accept(refused ? Either.left(new OrderOutcome(OrderOutcome.Kind.FENCED, "fence"))
						: Either.right(new WorkerState(clockMillis(), this.born, List.<RunningTask>of(), this.ended))));
		}

		@Override
		public void start(WorkerAnnouncement life, long fence, RunStart run, long leaseUntilMillis,
				Consumer<OrderOutcome> answer) {
			this.starts.add(run.task());
			answer.accept(new OrderOutcome(this.startOutcome, "scripted"));
		}

		@Override
		public void stop(WorkerAnnouncement life, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer) {
			this.stops.add(task);
			if (this.withholdsStopAnswers) {
				this.withheldStopAnswers.add(answer);
			}
			else {
				answer.accept(new OrderOutcome(this.stopOutcome, "scripted"));
			}
		}

		@Override
		public void pace(WorkerAnnouncement life, long fence, TaskKey task, int run, int percent,
				Consumer<OrderOutcome> answer) {
			answer.accept(new OrderOutcome(OrderOutcome.Kind.OBEYED, ""));
		}

	}

}
