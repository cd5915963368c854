package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobState;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays a load that exceeds the capacity for fillers while each worker runs a service,
 * so that no worker is foreseeable for tasks of a heavy image. A task runs for a second,
 * and a job of two steps has an objective of five seconds.
 */
class JobSelectionTests {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int TICKS_OF_TASK = 10;

	private final DispatchFixture fixture = new DispatchFixture();

	private final Map<TaskKey, Integer> ticksRun = new HashMap<>();

	@BeforeEach
	void startServices() {
		configure();
		this.fixture.imagePressure.restore("light  1\nheavy  30\n");
		for (int number = 0; number < 4; number++) {
			this.fixture.worker("host-" + number, 8_000);
		}
		this.fixture.submit("service", new StepBuilder().tasks(4).milliCores(5_000).perWorker(1).service().build());
		run(100);
	}

	private void configure() {
		this.fixture.dispatcher.configure(new QueueConfiguration(2, List.of(new Queue(DispatchFixture.QUEUE, "host",
				"/queue/", DispatchFixture.SERVICE, 2, 2, 2, Duration.ofSeconds(1), false)), List.of(), 1_000));
	}

	private void submit(String id, int tasks, String secondImage) {
		this.fixture.submit(id, new StepBuilder().tasks(tasks).filler("light").build(),
				new StepBuilder().tasks(tasks).filler(secondImage).after(0).build());
	}

	private void run(int ticks) {
		for (int tick = 0; tick < ticks; tick++) {
			this.fixture.time.advance(TICK);
			this.fixture.workers.values().forEach(this::endFinishedRuns);
			this.fixture.reportAll();
			this.fixture.runSchedulingRound();
		}
	}

	private void endFinishedRuns(SimulatedWorker worker) {
		for (TaskKey key : List.copyOf(worker.running.keySet())) {
			if (!key.job().equals("service") && this.ticksRun.merge(key, 1, Integer::sum) >= TICKS_OF_TASK) {
				worker.end(key, "done");
			}
		}
	}

	private Set<TaskKey> running(String prefix) {
		Set<TaskKey> running = new HashSet<>();
		this.fixture.workers.values().forEach((worker) -> running.addAll(worker.running.keySet()));
		running.removeIf((key) -> !key.job().startsWith(prefix));
		return running;
	}

	private boolean hasReadyTask(String id) {
		int step = this.fixture.job(id).stepDone(0, 0) ? 1 : 0;
		return this.fixture.job(id).tasks(0, step).stream().anyMatch((task) -> task.status().waiting());
	}

	/**
	 * Light jobs need a fifth more than the capacity. Without the selection, blocked jobs
	 * of the same size get two fifths of it, and none of them can end.
	 */
	@Test
	void jobsThatCannotEndGetNoCapacityThatOthersWant() {
		for (int tick = 0; tick < 120; tick++) {
			if (tick % 4 == 0) {
				submit("blocked" + tick, 6, "heavy");
				submit("light" + tick, 6, "light");
			}
			Set<TaskKey> before = running("blocked");
			run(1);
			Set<TaskKey> started = running("blocked");
			started.removeAll(before);
			for (int other = 0; other <= tick; other += 4) {
				boolean mayEnd = tick - other < 50;
				assertThat(!started.isEmpty() && mayEnd && hasReadyTask("light" + other))
					.as("at tick %s, light%s waits while %s start", tick, other, started)
					.isFalse();
			}
		}
		assertThat(this.fixture.selectionChanges).contains("deferred blocked0").doesNotContain("deferred light0");
	}

	@Test
	void capacityThatNoOtherJobWantsGoesToDeferredJobs() {
		submit("blocked", 4, "heavy");
		run(1);
		assertThat(this.fixture.selectionChanges).containsExactly("deferred blocked");
		assertThat(this.fixture.dispatcher.load().deferredJobs()).containsEntry(DispatchFixture.QUEUE, 1);
		assertThat(running("blocked")).hasSize(4);
	}

	/**
	 * A job must not be given up because the workers without services are few for a
	 * moment: when one is free again, it is resumed and ends.
	 */
	@Test
	void deferredJobIsResumedWhenWorkersBecomeFree() {
		submit("blocked", 30, "heavy");
		run(10);
		this.fixture.worker("free", 8_000);
		run(120);
		assertThat(this.fixture.selectionChanges).containsExactly("deferred blocked", "resumed blocked");
		assertThat(this.fixture.job("blocked").state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * A job that was begun must not lose its place to jobs that arrive later, or its
	 * finished tasks are lost work.
	 */
	@Test
	void startedJobKeepsItsPositionWhenSmallerJobsArrive() {
		submit("first", 30, "light");
		run(3);
		for (int number = 0; number < 40; number++) {
			submit("small" + number, 4, "light");
		}
		run(20);
		assertThat(this.fixture.selectionChanges).doesNotContain("deferred first");
	}

	/**
	 * An accepted job must run to its end, even if the overload never ends: the work of a
	 * job that is of no use any more must not wait behind it for ever.
	 */
	@Test
	void oldestDeferredJobIsServedDuringLastingOverload() {
		this.fixture.submitAccepted("old", this.fixture.time.millis() - JobSelection.MAXIMUM_DEFERRAL.toMillis(),
				new StepBuilder().tasks(40).filler("light").build());
		for (int tick = 0; tick < 100; tick++) {
			submit("light" + tick, 6, "light");
			run(1);
		}
		assertThat(this.fixture.job("old").state()).isEqualTo(JobState.COMPLETED);
	}

	/**
	 * A new leader does not know the capacity before the hosts have reported, and must
	 * not take what it does not know for none.
	 */
	@Test
	void newLeaderDefersNothingBeforeHostsHaveReported() {
		submit("blocked", 4, "heavy");
		this.fixture.takeOver();
		configure();
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.selectionChanges).isEmpty();
		this.fixture.report(this.fixture.workers.get("host-0"));
		this.fixture.dispatcher.schedule();
		assertThat(this.fixture.selectionChanges).isEmpty();
		run(25);
		assertThat(this.fixture.selectionChanges).containsExactly("deferred blocked");
	}

	@Test
	void imageOfUnknownPressureCountsAsLight() {
		submit("unknown", 4, "new-image");
		run(1);
		assertThat(this.fixture.selectionChanges).isEmpty();
		assertThat(this.fixture.task("unknown", 0, 0).status()).isEqualTo(TaskStatus.PLACED);
	}

}
