package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that what is recorded depends on what has changed, and that no batch exceeds a
 * transaction of the store.
 */
class RecordingTests {

	private static final int LIMIT = 90;

	private final DispatchFixture fixture = new DispatchFixture();

	private static int rows(DispatchBatch batch) {
		return batch.jobs().size() + batch.tasks().size() + batch.cleanup().tasks().size()
				+ batch.cleanup().reduced().size() + 3 * batch.cleanup().expired().size();
	}

	/**
	 * Records batches until there is nothing left to record or to clean up.
	 */
	private List<DispatchBatch> recordAll() {
		return recordAll(Integer.MAX_VALUE);
	}

	private List<DispatchBatch> recordAll(int characterLimit) {
		List<DispatchBatch> batches = new ArrayList<>();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(LIMIT, characterLimit);
		while (!batch.isEmpty()) {
			batches.add(batch);
			this.fixture.store(batch);
			this.fixture.dispatcher.recorded(batch, true)
				.forEach((host, orders) -> this.fixture.workers.get(host).execute(orders));
			batch = this.fixture.dispatcher.takeBatch(LIMIT, characterLimit);
		}
		return batches;
	}

	/**
	 * Bytes recorded for one end must not grow with the width of the step.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 10, 110 })
	void endOfOneTaskRecordsOneRow(int width) {
		SimulatedWorker worker = this.fixture.worker("one", 1_000_000);
		this.fixture.submit("job", DispatchFixture.step(width, 1_000));
		this.fixture.dispatcher.schedule();
		recordAll();
		// The first report makes the job active, which is recorded once.
		this.fixture.report(worker);
		recordAll();
		worker.end(this.fixture.task("job", 0, 0).key(), "failed");
		this.fixture.report(worker);
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		assertThat(batch.tasks()).containsOnlyKeys(this.fixture.task("job", 0, 0).key());
		assertThat(batch.jobs()).isEmpty();
		assertThat(batch.tasks().get(this.fixture.task("job", 0, 0).key())).hasSizeLessThan(60);
	}

	/**
	 * Guards against recorded starts that are decided and recorded again and again, since
	 * the view of the operator's rows of a slow leader is out of date each time.
	 */
	@Test
	void startThatMayNotBeOrderedYetIsKept() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.worker("two", 4_000);
		this.fixture.submit("job", DispatchFixture.step(8, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		assertThat(this.fixture.dispatcher.recorded(batch, false)).isEmpty();
		assertThat(this.fixture.dispatcher.hasChanges()).isFalse();
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.dispatcher.hasChanges()).isFalse();
		assertThat(this.fixture.dispatcher.releaseStarts(false)).isEmpty();
		this.fixture.reports.connected("two", false);
		Map<String, List<StartOrder>> orders = this.fixture.dispatcher.releaseStarts(true);
		assertThat(orders).containsOnlyKeys("one");
		assertThat(orders.get("one")).hasSize(4).extracting(StartOrder::getRun).containsOnly(1);
		worker.execute(orders.get("one"));
		assertThat(this.fixture.dispatcher.releaseStarts(true)).isEmpty();
		assertThat(this.fixture.dispatcher.recordBacklog().taskRows()).isEqualTo(4);
	}

	/**
	 * Guards against a task that runs twice, since a host lists an earlier run of it,
	 * whose order was carried out late, while its start waits.
	 */
	@Test
	void keptStartIsCancelledWhileAHostListsAnotherRunOfItsTask() {
		this.fixture.worker("one", 1_000);
		SimulatedWorker late = this.fixture.worker("two", 1_000);
		this.fixture.submit("0123456789abcdef", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		TaskKey task = this.fixture.task("0123456789abcdef", 0, 0).key();
		String chosen = this.fixture.task("0123456789abcdef", 0, 0).host();
		SimulatedWorker other = chosen.equals("two") ? this.fixture.workers.get("one") : late;
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		this.fixture.dispatcher.recorded(batch, false);
		other.running.put(task, RunningTask.newBuilder().setTask(TaskNames.name(task)).setRun(9).build());
		this.fixture.report(other);
		assertThat(this.fixture.dispatcher.releaseStarts(true)).isEmpty();
		assertThat(this.fixture.task("0123456789abcdef", 0, 0).status().waiting()).isTrue();
	}

	/**
	 * Guards against a start that is kept for so long that its worker is chosen by
	 * information that is out of date.
	 */
	@Test
	void startThatIsKeptTooLongIsCancelled() {
		this.fixture.worker("one", 1_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		this.fixture.dispatcher.recorded(this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE), false);
		this.fixture.time.advance(DispatchSettings.MAXIMUM_START_HOLD.minusMillis(1));
		this.fixture.dispatcher.releaseStarts(false);
		assertThat(this.fixture.task("job", 0, 0).status().waiting()).isFalse();
		this.fixture.time.advance(Duration.ofMillis(1));
		this.fixture.dispatcher.releaseStarts(false);
		assertThat(this.fixture.task("job", 0, 0).status().waiting()).isTrue();
	}

	/**
	 * Guards against a backlog in which starts cannot be told from other rows.
	 */
	@Test
	void backlogTellsStartsFromOtherRows() {
		this.fixture.worker("one", 1_000_000);
		this.fixture.submit("waiting", DispatchFixture.step(1, 2_000_000));
		this.fixture.submit("wide", DispatchFixture.step(200, 1_000));
		assertThat(this.fixture.dispatcher.recordBacklog()).isEqualTo(new RecordBacklog(2, 0, 0));
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.dispatcher.recordBacklog()).isEqualTo(new RecordBacklog(2, 200, 200));
		this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		assertThat(this.fixture.dispatcher.recordBacklog()).isEqualTo(new RecordBacklog(0, 112, 112));
		recordAll();
		this.fixture.reportAll();
		recordAll();
		this.fixture.workers.get("one").restart();
		this.fixture.reportAll();
		// The batch that was taken first was not recorded, so its runs were not lost.
		assertThat(this.fixture.dispatcher.recordBacklog()).isEqualTo(new RecordBacklog(0, 112, 0));
	}

	@Test
	void wideJobIsRecordedInSeveralBatchesAndStartsWhole() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000_000);
		this.fixture.submit("wide", DispatchFixture.step(200, 1_000));
		this.fixture.dispatcher.schedule();
		List<DispatchBatch> batches = recordAll();
		assertThat(batches).hasSizeGreaterThan(2).allMatch((batch) -> rows(batch) <= LIMIT);
		assertThat(worker.executedOrders).hasSize(200);
	}

	/**
	 * The rows of tasks contain checkpoints of the workers. The store accepts 1 MB in a
	 * transaction, in which each row is encoded in four bytes for three.
	 */
	@Test
	void longCheckpointsAreRecordedInBatchesThatFit() {
		SimulatedWorker worker = runWithCheckpoints(100, 60_000);
		worker.endAll("failed");
		this.fixture.report(worker);
		List<DispatchBatch> batches = recordAll(500_000);
		assertThat(batches).flatExtracting((batch) -> batch.tasks().keySet()).hasSize(100);
		assertThat(batches).allMatch((batch) -> rows(batch) <= LIMIT)
			.allMatch((batch) -> batch.characters() * 4L / 3 + rows(batch) * 500L <= 1_000_000);
		assertThat(this.fixture.reports.recordedEnds("one")).isEqualTo(100);
	}

	@Test
	void partsOfBatchContainEachRowAndStartOnce() {
		this.fixture.worker("one", 1_000_000);
		this.fixture.submit("job", DispatchFixture.step(20, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		List<DispatchBatch> parts = new ArrayList<>(List.of(batch));
		while (parts.stream().anyMatch((part) -> part.rows() > 1)) {
			parts = new ArrayList<>(parts.stream()
				.flatMap((part) -> (part.rows() > 1) ? part.divide().stream() : Stream.of(part))
				.toList());
		}
		assertThat(parts).hasSize(21);
		assertThat(parts).flatExtracting(DispatchBatch::starts).containsExactlyInAnyOrderElementsOf(batch.starts());
		assertThat(parts).flatExtracting((part) -> part.tasks().entrySet())
			.containsExactlyInAnyOrderElementsOf(batch.tasks().entrySet());
	}

	/**
	 * Guards against a row that is rejected again and again, since the worker reports the
	 * same checkpoint after it was discarded.
	 */
	@Test
	void rejectedCheckpointIsOmittedAndNotTakenAgain() {
		SimulatedWorker worker = runWithCheckpoints(1, 60_000);
		worker.endAll("failed");
		this.fixture.report(worker);
		DispatchBatch rejected = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		DispatchBatch reduced = this.fixture.dispatcher.reduce(rejected).get(0);
		assertThat(reduced.characters()).isLessThan(100);
		assertThat(reduced.ends()).isEqualTo(rejected.ends());
		this.fixture.task("job", 0, 0).saveCheckpoint("x".repeat(60_000));
		assertThat(this.fixture.task("job", 0, 0).checkpoint()).isEmpty();
		assertThat(this.fixture.dispatcher.reduce(reduced)).isEmpty();
		this.fixture.dispatcher.postpone(reduced);
		assertThat(this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE)).isEqualTo(reduced);
	}

	private SimulatedWorker runWithCheckpoints(int tasks, int length) {
		SimulatedWorker worker = this.fixture.worker("one", 1_000_000);
		this.fixture.submit("job", DispatchFixture.step(tasks, 1_000));
		this.fixture.dispatcher.schedule();
		recordAll();
		worker.running.replaceAll((task, run) -> run.toBuilder().setCheckpoint("x".repeat(length)).build());
		this.fixture.report(worker);
		return worker;
	}

	@Test
	void endIsAcknowledgedOnlyAfterAllChangesAreRecorded() {
		SimulatedWorker worker = this.fixture.worker("one", 1_000_000);
		this.fixture.submit("wide", DispatchFixture.step(200, 1_000));
		this.fixture.dispatcher.schedule();
		recordAll();
		worker.endAll("failed");
		this.fixture.report(worker);
		DispatchBatch first = this.fixture.dispatcher.takeBatch(LIMIT, Integer.MAX_VALUE);
		assertThat(first.ends()).isEmpty();
		this.fixture.dispatcher.recorded(first, true);
		assertThat(this.fixture.reports.recordedEnds("one")).isZero();
		recordAll();
		assertThat(this.fixture.reports.recordedEnds("one")).isEqualTo(200);
	}

	/**
	 * Guards against transactions that exceed the limit of the store: they are refused
	 * and sent again for ever.
	 */
	@Test
	void aThousandExpiredJobsAreRemovedInBatchesThatFit() {
		List<SimulatedWorker> workers = new ArrayList<>();
		for (int number = 0; number < 4; number++) {
			workers.add(this.fixture.worker("host" + number, 2_000_000));
		}
		for (int number = 0; number < 1_000; number++) {
			this.fixture.submit("job" + number, DispatchFixture.step(2, 1_000));
		}
		for (int pass = 0; pass < 2; pass++) {
			this.fixture.dispatcher.schedule();
			recordAll();
		}
		workers.forEach((worker) -> worker.endAll("done"));
		this.fixture.reportAll();
		recordAll();
		assertThat(this.fixture.storedJobs.values()).allMatch((state) -> state.startsWith(JobState.COMPLETED.name()))
			.hasSize(1_000);
		this.fixture.time.advance(DispatchFixture.SETTINGS.retention().plusSeconds(1));
		assertThat(recordAll()).allMatch((batch) -> rows(batch) <= LIMIT);
		assertThat(this.fixture.storedJobs.keySet()).isEmpty();
		assertThat(this.fixture.storedTasks.values()).allMatch((rows) -> rows.isEmpty());
	}

	@Test
	void rowsOfAnEndedJobAreReducedOnceItsRunsAreGone() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.dispatcher.schedule();
		recordAll();
		this.fixture.report(worker);
		this.fixture.dispatcher.cancelled("job");
		recordAll();
		this.fixture.time.advance(EndedJobs.REDUCTION_DELAY);
		assertThat(recordAll()).isEmpty();
		worker.endAll("stopped");
		this.fixture.report(worker);
		List<DispatchBatch> batches = recordAll();
		assertThat(batches).flatExtracting((batch) -> batch.cleanup().reduced()).containsExactly("job");
		assertThat(batches).flatExtracting((batch) -> batch.cleanup().tasks()).hasSize(2);
		assertThat(this.fixture.storedJobs.get("job")).startsWith(JobState.CANCELLED.name());
	}

	/**
	 * A repeated submission can arrive seconds after the job has ended.
	 */
	@Test
	void reducedJobIsNotStartedAgain() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.dispatcher.schedule();
		recordAll();
		worker.endAll("done");
		this.fixture.report(worker);
		recordAll();
		this.fixture.time.advance(EndedJobs.REDUCTION_DELAY);
		recordAll();
		this.fixture.submit("job", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
	}

	@Test
	void newLeaderRemovesTheStateOfAReducedJobOnceItExpires() {
		this.fixture.dispatcher.endedEarlier("job", this.fixture.time.millis());
		assertThat(recordAll()).isEmpty();
		this.fixture.time.advance(DispatchFixture.SETTINGS.retention().plus(Duration.ofSeconds(1)));
		assertThat(recordAll()).flatExtracting((batch) -> batch.cleanup().expired()).containsExactly("job");
	}

	@Test
	void newLeaderReadsProgressThatAnEarlierVersionStoredInOneRow() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit("job", DispatchFixture.step(2, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.storedTasks.clear();
		this.fixture.storedJobs.put("job", "ACTIVE 0 queue\n0 0 0 2 1 0 one worker-one 1 -\n0 0 1 3 1 0 - - 0 -");
		worker.end(this.fixture.task("job", 0, 1).key(), "done");
		worker.ended.clear();
		this.fixture.takeOver();
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(2);
		assertThat(this.fixture.task("job", 0, 0).host()).isEqualTo("one");
	}

}
