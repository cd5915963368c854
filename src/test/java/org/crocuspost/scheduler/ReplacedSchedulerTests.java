package org.crocuspost.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.bench.batch.BatchDeployment;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.worker.TaskBehavior;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests agents that restart while a scheduler that has been replaced does not know it,
 * since it is cut off from the store.
 */
class ReplacedSchedulerTests {

	private static final String DOMAIN = "north";

	private static final String FORMER = "former";

	private static final String NEXT = "next";

	private static final String WORKER = DOMAIN + "-w0";

	/**
	 * Time after the last answer to an agent within which its tasks must have started
	 * elsewhere: its permission, two leases of its tasks and the margin, and a few
	 * rounds.
	 */
	private static final Duration RESTART_BOUND = Duration.ofSeconds(90);

	private final BatchDeployment deployment = new BatchDeployment(List.of(DOMAIN),
			(start) -> new TaskBehavior(Duration.ofHours(2), SchedulerFixtures.SMALL, false));

	private final PartitionedTable formerTable = new PartitionedTable(this.deployment.table());

	@BeforeEach
	void startTasksUnderTheFormerScheduler() {
		this.deployment.addWorkers(DOMAIN, 3, SchedulerFixtures.WORKER);
		this.deployment.startScheduler(FORMER, this.formerTable);
		this.deployment.configuration().declare(SchedulerFixtures.job("report", 6, SchedulerFixtures.SMALL));
		this.deployment.advance(Duration.ofSeconds(10));
		this.deployment.startScheduler(NEXT);
		this.deployment.advance(Duration.ofSeconds(30));
		assertThat(runningOn(WORKER)).isPositive();
	}

	private long runningOn(String worker) {
		return this.deployment.worker(worker)
			.runtime()
			.history()
			.stream()
			.filter((run) -> run.ended().equals(Instant.MAX))
			.count();
	}

	private void replaceScheduler() {
		this.formerTable.partitioned = true;
		this.deployment.advance(Duration.ofSeconds(15));
		assertThat(this.deployment.scheduler(NEXT).scheduler().heldEpoch(DOMAIN).isDefined()).isTrue();
	}

	/**
	 * Guards against an agent that restarts, no longer knows the scheduler that it has
	 * acknowledged, and goes on to renew task leases for the former one.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 3, 20, 60, 80 })
	void tasksDoNotRunTwiceWhenOnlyTheReplacedSchedulerReachesARestartedAgent(int secondsUntilRestart) {
		replaceScheduler();
		this.deployment.link(WORKER, NEXT).dropFrames(true);
		this.deployment.advance(Duration.ofSeconds(secondsUntilRestart));
		this.deployment.restartAgent(WORKER);
		this.deployment.link(WORKER, NEXT).dropFrames(true);
		this.deployment.advance(Duration.ofMinutes(20));
		this.deployment.link(WORKER, NEXT).dropFrames(false);
		this.deployment.advance(Duration.ofMinutes(5));
		new RunAssertions(this.deployment).neverRunsTwiceAtOnce();
	}

	/**
	 * The tasks of a lost worker must not wait for the permission that the former
	 * scheduler may give during an outage.
	 */
	@Test
	void tasksOfALostWorkerAreRestartedSoonAfterASchedulerIsReplaced() {
		replaceScheduler();
		long lost = runningOn(WORKER);
		long before = this.deployment.history().size();
		this.deployment.failWorker(WORKER);
		this.deployment.advance(RESTART_BOUND);
		assertThat(this.deployment.history()).hasSize((int) (before + lost));
		new RunAssertions(this.deployment).neverRunsTwiceAtOnce();
	}

	@Test
	void tasksRunOnWhenAnAgentRestartsAfterASchedulerIsReplaced() {
		replaceScheduler();
		long running = runningOn(WORKER);
		this.deployment.restartAgent(WORKER);
		this.deployment.advance(Duration.ofMinutes(5));
		assertThat(runningOn(WORKER)).isEqualTo(running);
	}

	@Test
	void tasksRunOnThroughAnOutageIfTheirAgentDoesNotRestart() {
		long running = runningOn(WORKER);
		this.deployment.table().faults().down(true);
		this.deployment.advance(Duration.ofMinutes(10));
		assertThat(runningOn(WORKER)).isEqualTo(running);
	}

	/**
	 * Table that a process does not reach while it is partitioned from it.
	 */
	private static final class PartitionedTable implements TableService {

		private final TableService table;

		private boolean partitioned;

		private PartitionedTable(TableService table) {
			this.table = table;
		}

		private <T> Either<Failure, T> unavailable() {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("partitioned"));
		}

		@Override
		public Either<Failure, Seq<Row>> scan(String prefix) {
			return this.partitioned ? unavailable() : this.table.scan(prefix);
		}

		@Override
		public Either<Failure, Row> read(String key) {
			return this.partitioned ? unavailable() : this.table.read(key);
		}

		@Override
		public Either<Failure, CommitResult> commit(Transaction transaction) {
			return this.partitioned ? unavailable() : this.table.commit(transaction);
		}

	}

}
