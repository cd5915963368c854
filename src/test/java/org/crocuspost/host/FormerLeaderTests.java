package org.crocuspost.host;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.hostlink.LeaderPort;
import org.crocuspost.job.TaskKey;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.LeaderHello;
import org.crocuspost.wire.LeaderMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests an agent that follows a leader that has been replaced, which it cannot know after
 * a restart without an answer of the store.
 */
class FormerLeaderTests {

	private static final Duration SHORT_TIME = Duration.ofMillis(500);

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	private final FencedWorker worker = new FencedWorker();

	private HostAgent agent = startAgent(0);

	private HostAgent startAgent(long knownEpoch) {
		LeaderPort[] port = new LeaderPort[1];
		HostAgent started = new HostAgent(new HostAgentSettings("host", Duration.ofSeconds(6), Duration.ofSeconds(1)),
				new HostMetrics(new PrometheusRegistry()), this.worker, (listener) -> {
					port[0] = new LeaderPort(listener);
					return port[0];
				}, (departure) -> {
				}, this.time, this.time);
		port[0].requireEpoch(knownEpoch);
		started.start();
		started.workerAnnounced(
				new WorkerAnnouncement("worker", 1, "service", "domain", false, 0, 0, 4_000, 4_000, 0, List.of(), 1));
		return started;
	}

	private void restartAgent(long knownEpoch) {
		// The calls of the former incarnation end with it.
		this.worker.callers++;
		this.agent = startAgent(knownEpoch);
		this.time.advance(SHORT_TIME);
	}

	private void follow(long epoch) {
		this.agent.helloReceived(LeaderHello.newBuilder().setLeader("entry").setEpoch(epoch).build());
	}

	private void extendLease() {
		this.agent.messageReceived(
				LeaderMessage.newBuilder().setWorkerBorn(1).setLeaseStamp(this.worker.clockMillis()).build());
		this.time.advance(SHORT_TIME);
	}

	private HostReport report() {
		return this.agent.composeReport();
	}

	/**
	 * Guards against a run that outlives what the present leader believes.
	 */
	@Test
	void leaseIsNotExtendedForAFormerLeaderByARestartedAgent() {
		follow(2);
		this.time.advance(SHORT_TIME);
		extendLease();
		long lease = this.worker.leaseUntilMillis;
		assertThat(lease).isPositive();
		this.time.advance(Duration.ofSeconds(1));
		restartAgent(0);
		follow(1);
		this.time.advance(SHORT_TIME);
		extendLease();
		extendLease();
		assertThat(this.worker.leaseUntilMillis).isEqualTo(lease);
		assertThat(report().getWorker().getId()).isEmpty();
		follow(2);
		this.time.advance(SHORT_TIME);
		extendLease();
		assertThat(this.worker.leaseUntilMillis).isGreaterThan(lease);
		assertThat(report().getFencedEpoch()).isEqualTo(2);
	}

	/**
	 * The leader must not have to wait for former leaders longer than one call takes.
	 */
	@Test
	void formerLeadersAreFencedAsSoonAsTheNextLeaderConnects() {
		follow(1);
		this.time.advance(SHORT_TIME);
		assertThat(report().getFencedEpoch()).isEqualTo(1);
		follow(2);
		this.time.advance(Duration.ofMillis(2));
		assertThat(report().getFencedEpoch()).isEqualTo(2);
	}

	@Test
	void nextIncarnationOfTheWorkerHasFencedNobody() {
		follow(2);
		this.time.advance(SHORT_TIME);
		this.worker.born = 2;
		this.worker.fence = 0;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(report().getFencedEpoch()).isZero();
	}

	/**
	 * A former incarnation of the agent may have obeyed the newer leader, whose start
	 * order is delivered late.
	 */
	@Test
	void listsReadForAFormerLeaderAreNotReportedToTheNextLeader() {
		follow(1);
		this.time.advance(SHORT_TIME);
		assertThat(report().getWorker().getId()).isEqualTo("worker");
		this.worker.silent = true;
		follow(2);
		this.time.advance(SHORT_TIME);
		assertThat(report().getWorker().getId()).isEmpty();
		this.worker.silent = false;
		this.time.advance(Duration.ofSeconds(1));
		assertThat(report().getWorker().getId()).isEqualTo("worker");
	}

	@Test
	void listsAreReportedToTheNextLeaderAtOnceIfTheEpochWasKnownAtTheStart() {
		restartAgent(1);
		follow(1);
		this.time.advance(SHORT_TIME);
		this.worker.silent = true;
		follow(2);
		this.time.advance(SHORT_TIME);
		assertThat(report().getWorker().getId()).isEqualTo("worker");
		assertThat(report().getFencedEpoch()).isEqualTo(1);
	}

	/**
	 * Guards against a worker that no agent can use until it restarts, because the epochs
	 * have started anew with an empty store.
	 */
	@Test
	void fenceIsOverriddenOnceNothingThatItProtectsIsLeft() {
		follow(100);
		this.time.advance(SHORT_TIME);
		restartAgent(0);
		follow(1);
		this.time.advance(HostAgentSettings.FENCE_OVERRIDE_DELAY.minus(SHORT_TIME.multipliedBy(2)));
		assertThat(report().getWorker().getId()).isEmpty();
		this.time.advance(Duration.ofSeconds(5));
		assertThat(report().getWorker().getId()).isEqualTo("worker");
		extendLease();
		assertThat(this.worker.leaseUntilMillis).isGreaterThan(this.worker.clockMillis());
	}

	/**
	 * Worker that does nothing for a lower fencing token than it has seen.
	 */
	private final class FencedWorker implements WorkerCalls {

		private int callers;

		private long fence;

		private long born = 1;

		private long leaseUntilMillis;

		private boolean silent;

		private long clockMillis() {
			return FormerLeaderTests.this.time.nanoTime() / 1_000_000 + 1;
		}

		@Override
		public void hold(WorkerAnnouncement target, long token, long acknowledgedEnds, long untilMillis,
				Duration maximumWait, Consumer<Either<OrderOutcome, WorkerState>> answer) {
			if (this.silent) {
				answerLater(Duration.ofMillis(700), Either.left(new OrderOutcome(OrderOutcome.Kind.UNKNOWN, "silent")),
						answer);
				return;
			}
			if (token < this.fence) {
				answerLater(Duration.ofMillis(1), Either.left(new OrderOutcome(OrderOutcome.Kind.FENCED, "fence")),
						answer);
				return;
			}
			this.fence = token;
			this.leaseUntilMillis = Math.max(this.leaseUntilMillis, untilMillis);
			answerLater(maximumWait.plusMillis(1),
					Either.right(new WorkerState(clockMillis(), this.born, List.of(), List.of())), answer);
		}

		private void answerLater(Duration delay, Either<OrderOutcome, WorkerState> result,
				Consumer<Either<OrderOutcome, WorkerState>> answer) {
			int caller = this.callers;
			FormerLeaderTests.this.time.schedule(delay, () -> {
				if (caller == this.callers) {
					answer.accept(result);
				}
			});
		}

		@Override
		public void start(WorkerAnnouncement target, long token, RunStart run, long untilMillis,
				Consumer<OrderOutcome> answer) {
			answer.accept(new OrderOutcome(OrderOutcome.Kind.REFUSED, "not used"));
		}

		@Override
		public void stop(WorkerAnnouncement target, long token, TaskKey task, int run, Consumer<OrderOutcome> answer) {
			answer.accept(new OrderOutcome(OrderOutcome.Kind.REFUSED, "not used"));
		}

		@Override
		public void pace(WorkerAnnouncement target, long token, TaskKey task, int run, int percent,
				Consumer<OrderOutcome> answer) {
			answer.accept(new OrderOutcome(OrderOutcome.Kind.REFUSED, "not used"));
		}

	}

}
