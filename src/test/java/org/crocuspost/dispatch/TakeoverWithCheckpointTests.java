package org.crocuspost.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a new leader carries on tasks with checkpoints of any content.
 */
class TakeoverWithCheckpointTests {

	private static final String JOB = "0123456789abcdef";

	private final DispatchFixture fixture = new DispatchFixture();

	/**
	 * Guards against a job that stays active for ever after a takeover, and against a
	 * task that resumes from a checkpoint that is not its own.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "00000bb87a21d94b", "done 2000", "-", " ", "done ", "- 1 2", "at 3 4", "a b c d",
			"{ \"step\": 3 }", "line\nline" })
	void jobEndsAndItsTaskResumesFromItsCheckpoint(String checkpoint) {
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.submit(JOB, new StepBuilder().tasks(2).filler("image").build());
		this.fixture.runSchedulingRound();
		worker.running.replaceAll((task, run) -> run.toBuilder().setCheckpoint(checkpoint).build());
		this.fixture.report(worker);
		TaskKey stopped = this.fixture.task(JOB, 0, 0).key();
		worker.end(stopped, "stopped");
		this.fixture.report(worker);
		storeChanges();
		this.fixture.takeOver();
		this.fixture.reportAll();
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(3);
		assertThat(worker.executedOrders.get(2).getTask()).isEqualTo(TaskNames.name(stopped));
		assertThat(worker.executedOrders.get(2).getCheckpoint()).isEqualTo(checkpoint);
		worker.endAll("done");
		this.fixture.reportAll();
		assertThat(this.fixture.job(JOB).state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * Guards against jobs that stay lost after an upgrade, since a leader of the previous
	 * version recorded their tasks.
	 */
	@ParameterizedTest
	@CsvSource({ "'0 1 0 - - 0 done 2000', done 2000", "0 1 0 - - 0 00000bb87a21d94b, 00000bb87a21d94b",
			"0 1 0 - - 0 -, ''", "'0 1 0 - - 0 at 3 4', ''", "'0 1 0 - - 0 a b c d', a b c d" })
	void taskThatThePreviousVersionRecordedResumes(String row, String checkpoint) {
		this.fixture.submit(JOB, new StepBuilder().tasks(1).filler("image").build());
		TaskKey task = this.fixture.task(JOB, 0, 0).key();
		this.fixture.storedJobs.put(JOB, "ACTIVE 0 " + DispatchFixture.QUEUE);
		this.fixture.storedTasks.put(JOB, new LinkedHashMap<>(Map.of(task, row)));
		this.fixture.takeOver();
		SimulatedWorker worker = this.fixture.worker("one", 4_000);
		this.fixture.runSchedulingRound();
		assertThat(worker.executedOrders).hasSize(1);
		assertThat(worker.executedOrders.get(0).getRun()).isEqualTo(2);
		assertThat(worker.executedOrders.get(0).getCheckpoint()).isEqualTo(checkpoint);
	}

	private void storeChanges() {
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(90, Integer.MAX_VALUE);
		this.fixture.store(batch);
		this.fixture.dispatcher.recorded(batch, true);
	}

}
