package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.StartOrder;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no start brings a worker over a capacity that changes while it runs.
 */
class WorkerCapacityTests {

	private static final String JOB = "0123456789abcdef";

	private final DispatchFixture fixture = new DispatchFixture();

	private void resize(SimulatedWorker worker, int milliCores) {
		worker.description = worker.description.toBuilder().setMilliCores(milliCores).build();
		this.fixture.report(worker);
	}

	/**
	 * The worker shrinks between the decision and the order.
	 */
	@Test
	void startsThatNoLongerFitAreNotSentAfterTheyAreRecorded() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit(JOB, DispatchFixture.step(3, 1_000));
		this.fixture.dispatcher.schedule();
		DispatchBatch batch = this.fixture.dispatcher.takeBatch(100, Integer.MAX_VALUE);
		resize(worker, 1_000);
		Map<String, List<StartOrder>> orders = this.fixture.dispatcher.recorded(batch, true);
		assertThat(orders.get("host")).hasSize(1);
		worker.execute(orders.get("host"));
		resize(worker, 3_000);
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(3);
	}

	@Test
	void nothingStartsOnShrunkWorkerUntilItsRunsHaveEnded() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit(JOB, DispatchFixture.step(4, 1_000));
		this.fixture.runSchedulingRound();
		this.fixture.report(worker);
		resize(worker, 2_000);
		this.fixture.submit("fedcba9876543210", DispatchFixture.step(1, 1_000));
		this.fixture.runSchedulingRound();
		for (int index = 0; index < 2; index++) {
			worker.end(this.fixture.task(JOB, 0, index).key(), "done");
			this.fixture.report(worker);
			this.fixture.runSchedulingRound();
		}
		assertThat(this.fixture.task("fedcba9876543210", 0, 0).status()).isEqualTo(TaskStatus.WAITING);
		worker.end(this.fixture.task(JOB, 0, 2).key(), "done");
		this.fixture.report(worker);
		this.fixture.runSchedulingRound();
		assertThat(this.fixture.task("fedcba9876543210", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
		assertThat(worker.running).hasSize(2);
	}

	/**
	 * An agent without a recent announcement reports no capacity. The share of it that a
	 * filler uses would seem enormous, and its pressure small.
	 */
	@Test
	void nothingIsLearnedOfImagesWhileCapacityIsUnknown() {
		SimulatedWorker worker = this.fixture.worker("host", 4_000);
		this.fixture.submit(JOB, new StepBuilder().milliCores(1_000).service().build());
		this.fixture.submit("fedcba9876543210", new StepBuilder().milliCores(500).filler("image").build());
		this.fixture.runSchedulingRound();
		assertThat(worker.running).hasSize(2);
		worker.running.replaceAll((task, run) -> run.toBuilder().setLoad(1_000).build());
		resize(worker, 0);
		String learned = this.fixture.imagePressure.write();
		for (int report = 0; report < 20; report++) {
			this.fixture.time.advance(Duration.ofMillis(50));
			this.fixture.report(worker);
		}
		assertThat(this.fixture.imagePressure.write()).isEqualTo(learned);
		worker.description = worker.description.toBuilder().setMilliCores(4_000).build();
		for (int report = 0; report < 20; report++) {
			this.fixture.time.advance(Duration.ofMillis(50));
			this.fixture.report(worker);
		}
		assertThat(this.fixture.imagePressure.write()).isNotEqualTo(learned);
	}

}
