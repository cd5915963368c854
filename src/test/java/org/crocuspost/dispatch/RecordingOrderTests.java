package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a leader that takes over between two transactions finds every run that may
 * exist, however the rows were divided.
 */
class RecordingOrderTests {

	private static final int LIMIT = 90;

	private static final int CHARACTERS = 500_000;

	private final DispatchFixture fixture = new DispatchFixture();

	private static String id(int number) {
		return "%016x".formatted(number);
	}

	/**
	 * Reads the jobs that were accepted while the store did not answer the leader, and
	 * assigns their tasks. The rows of the jobs come in the order of their keys, the
	 * tasks in the order of the jobs' sizes, which here is the reverse one.
	 */
	private void acceptAndAssign(int jobs, int tasksPerJob) {
		for (int host = 0; host < 11; host++) {
			this.fixture.worker("host" + host, 100_000);
		}
		for (int job = 0; job < jobs; job++) {
			this.fixture.submit(id(job), DispatchFixture.step(tasksPerJob, 500 - job));
		}
		this.fixture.dispatcher.schedule();
	}

	private boolean recordNext(int limit, int characters) {
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(limit, characters);
		if (batch.isEmpty()) {
			return false;
		}
		record(batch);
		return true;
	}

	private void record(DispatchBatch batch) {
		this.fixture.store(batch);
		this.fixture.dispatcher.recorded(batch, true)
			.forEach((host, orders) -> this.fixture.workers.get(host).execute(orders));
	}

	private Set<String> startedRuns() {
		Set<String> runs = new HashSet<>();
		for (SimulatedWorker worker : this.fixture.workers.values()) {
			for (StartOrder order : worker.executedOrders) {
				assertThat(runs.add(TaskNames.key(order.getTask()).toString())).as("first run of " + order.getTask())
					.isTrue();
			}
		}
		return runs;
	}

	/**
	 * Guards against tasks that run again after they have ended as done: the leader is
	 * killed when it has recorded a part of a backlog of new jobs, and the next one does
	 * not find the row of a job whose tasks have run.
	 */
	@ParameterizedTest
	@CsvSource({ "55, 4, 90", "55, 4, 2", "200, 1, 90", "3, 200, 90", "46, 2, 90", "10, 10, 7" })
	void tasksThatAreDoneDoNotRunAgainAfterATakeoverAtAnyTransaction(int jobs, int tasksPerJob, int limit) {
		for (int transactions = 1;; transactions++) {
			RecordingOrderTests run = new RecordingOrderTests();
			if (!run.takeOverAfter(transactions, jobs, tasksPerJob, limit)) {
				return;
			}
		}
	}

	private boolean takeOverAfter(int transactions, int jobs, int tasksPerJob, int limit) {
		acceptAndAssign(jobs, tasksPerJob);
		for (int transaction = 0; transaction < transactions; transaction++) {
			if (!recordNext(limit, CHARACTERS)) {
				return false;
			}
		}
		this.fixture.workers.values().forEach((worker) -> worker.endAll("done"));
		this.fixture.takeOver();
		for (int round = 0; round < 3; round++) {
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
			this.fixture.workers.values().forEach((worker) -> worker.endAll("done"));
		}
		assertThat(startedRuns()).hasSize(jobs * tasksPerJob);
		for (int job = 0; job < jobs; job++) {
			assertThat(this.fixture.job(id(job)).state()).isEqualTo(JobState.COMPLETED);
		}
		return true;
	}

	/**
	 * Guards against rows of tasks that no leader can assign to a recorded job.
	 */
	@ParameterizedTest
	@CsvSource({ "55, 4, 90, 500000", "55, 4, 90, 60", "55, 4, 2, 500000", "200, 3, 90, 500000", "3, 200, 10, 200" })
	void rowOfATaskIsRecordedWithTheRowOfItsJobOrAfterIt(int jobs, int tasksPerJob, int limit, int characters) {
		acceptAndAssign(jobs, tasksPerJob);
		while (recordNext(limit, characters)) {
			assertThat(this.fixture.storedJobs.keySet()).containsAll(this.fixture.storedTasks.keySet());
		}
		assertThat(startedRuns()).hasSize(jobs * tasksPerJob);
	}

	/**
	 * Guards against many tasks of few jobs that delay new jobs, and the other way round.
	 */
	@Test
	void neitherKindOfRowDelaysTheOther() {
		acceptAndAssign(300, 4);
		DispatchBatch first = this.fixture.dispatcher.takeBatch(LIMIT, CHARACTERS);
		assertThat(first.jobs().size()).isGreaterThanOrEqualTo(LIMIT / 2);
		assertThat(first.tasks().size()).isGreaterThanOrEqualTo(LIMIT / 3);
		assertThat(first.jobs().size() + first.tasks().size()).isEqualTo(LIMIT);
	}

	/**
	 * Guards against long-running tasks that wait for their turn behind the rows of other
	 * tasks: a new leader reads a large backlog, and its first transaction holds 90 rows.
	 */
	@Test
	void afterATakeoverServicesAreRecordedAndStartedFirst() {
		for (int host = 0; host < 10; host++) {
			this.fixture.worker("host" + host, 60_000);
		}
		this.fixture.submit("service", new StepBuilder().tasks(30).milliCores(4_000).perWorker(3).service().build());
		for (int job = 0; job < 40; job++) {
			this.fixture.submit("batch-" + job, DispatchFixture.step(12, 1_000));
		}
		this.fixture.runSchedulingRound();
		this.fixture.workers.values().forEach((worker) -> worker.running.clear());
		for (int job = 40; job < 80; job++) {
			this.fixture.submit("batch-" + job, DispatchFixture.step(12, 1_000));
		}
		this.fixture.takeOver();
		this.fixture.reportAll();
		assertThat(this.fixture.dispatcher.recordBacklog().taskRows()).isGreaterThan(300);
		this.fixture.dispatcher.schedule();
		DispatchBatch first = this.fixture.dispatcher.takeBatch(LIMIT, CHARACTERS);
		assertThat(first.starts()).filteredOn((start) -> start.task().job().equals("service")).hasSize(30);
		this.fixture.store(first);
		Map<String, List<StartOrder>> orders = this.fixture.dispatcher.recorded(first, true);
		orders.values()
			.forEach((sent) -> assertThat(sent.stream().map((order) -> TaskNames.key(order.getTask()).job()).toList())
				.isSortedAccordingTo((one, other) -> Boolean.compare(other.equals("service"), one.equals("service"))));
		assertThat(this.fixture.job("service").allTasks()).allMatch((task) -> task.status() == TaskStatus.PLACED);
	}

	/**
	 * Guards against other rows that wait for ever while those of long-running tasks keep
	 * changing.
	 */
	@Test
	void rowsOfServicesLeaveRoomForOtherRows() {
		this.fixture.worker("one", 1_000_000);
		this.fixture.submit("service", new StepBuilder().tasks(200).milliCores(1_000).service().build());
		this.fixture.submit("batch", DispatchFixture.step(100, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch first = this.fixture.dispatcher.takeBatch(LIMIT, CHARACTERS);
		assertThat(first.starts()).filteredOn((start) -> start.task().job().equals("batch")).isNotEmpty();
	}

	/**
	 * Guards against starts without a recorded job when the store rejects a transaction,
	 * which is then divided, and one part is rejected for good.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 7, 54 })
	void tasksOfAJobWhoseRowIsRejectedWaitForIt(int rejected) {
		acceptAndAssign(55, 4);
		DispatchBatch whole = this.fixture.dispatcher.takeBatch(1_000, CHARACTERS);
		DispatchBatch row = new DispatchBatch(Map.of(id(rejected), whole.jobs().get(id(rejected))), Map.of(), List.of(),
				Map.of(), DispatchBatch.Cleanup.NONE);
		this.fixture.dispatcher.postpone(row);
		DispatchBatch waiting = whole.requiring(row.jobs().keySet());
		assertThat(waiting.tasks()).hasSize(4)
			.allSatisfy((task, value) -> assertThat(task.job()).isEqualTo(id(rejected)));
		assertThat(waiting.starts()).hasSize(4);
		this.fixture.dispatcher.postpone(waiting);
		DispatchBatch other = whole.notRequiring(row.jobs().keySet());
		assertThat(other.tasks()).hasSize(54 * 4);
		assertThat(other.starts()).hasSize(54 * 4);
		record(other);
		List<DispatchBatch> later = new ArrayList<>();
		for (DispatchBatch batch = this.fixture.dispatcher.takeBatch(3, CHARACTERS); !batch
			.isEmpty(); batch = this.fixture.dispatcher.takeBatch(3, CHARACTERS)) {
			later.add(batch);
		}
		assertThat(later.get(0).jobs()).containsOnlyKeys(id(rejected));
		assertThat(later).flatExtracting((batch) -> batch.tasks().keySet()).hasSize(4);
	}

	/**
	 * Guards against capacity that stays reserved, and against an ended job that is kept
	 * for ever: its row was recorded, and its starts, which need no rows any more, were
	 * left for a batch of their own.
	 */
	@Test
	void startsOfAnEndedJobAreCancelledInABatchWithoutRows() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit(id(1), DispatchFixture.step(4, 1_000));
		this.fixture.dispatcher.schedule();
		this.fixture.dispatcher.cancelled(id(1));
		while (recordNext(1, CHARACTERS)) {
			assertThat(worker.executedOrders).isEmpty();
		}
		this.fixture.submit(id(2), DispatchFixture.step(4, 1_000));
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(4);
	}

	/**
	 * Guards against tasks that run again after a rolling upgrade: the previous version
	 * could record the rows of tasks before the row of their job.
	 */
	@Test
	void runsThatThePreviousVersionRecordedWithoutTheirJobAreFound() {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit(id(1), DispatchFixture.step(4, 240));
		this.fixture.runSchedulingRound();
		this.fixture.storedJobs.clear();
		worker.end(this.fixture.task(id(1), 0, 0).key(), "done");
		worker.end(this.fixture.task(id(1), 0, 1).key(), "failed");
		this.fixture.takeOver();
		this.fixture.report(worker);
		assertThat(this.fixture.job(id(1)).state()).isEqualTo(JobState.ACTIVE);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(5);
		assertThat(worker.executedOrders.get(4).getTask()).isEqualTo(TaskNames.name(new TaskKey(id(1), 0, 0, 1)));
		assertThat(worker.executedOrders.get(4).getRun()).isEqualTo(2);
		assertThat(this.fixture.storedJobs).containsKey(id(1));
		worker.endAll("done");
		this.fixture.report(worker);
		assertThat(this.fixture.job(id(1)).state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * Guards against a gang that never goes on after a takeover: the end of one member
	 * completes all of them, and only a part of their rows was recorded.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void gangIsDoneOnceTheRowOfOneMemberSaysSo(int recordedMembers) {
		for (int host = 0; host < 4; host++) {
			this.fixture.worker("host" + host, 1_000);
		}
		this.fixture.submit(id(1), new StepBuilder().tasks(4).gang().build(),
				new StepBuilder().tasks(1).after(0).build());
		this.fixture.runSchedulingRound();
		SimulatedWorker first = this.fixture.workers.get("host0");
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		first.endAll("done");
		this.fixture.report(first);
		record(this.fixture.dispatcher.takeBatch(recordedMembers, CHARACTERS));
		this.fixture.workers.values().forEach(SimulatedWorker::restart);
		this.fixture.takeOver();
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.job(id(1)).tasks(0, 0)).allMatch((task) -> task.status() == TaskStatus.DONE);
		assertThat(this.fixture.task(id(1), 1, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

}
