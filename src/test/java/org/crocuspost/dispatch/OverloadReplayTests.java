package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays the heaviest load patterns by seed on virtual time. All guarantees must hold,
 * and jobs that can still meet their objective must be served in time.
 */
class OverloadReplayTests {

	private static final Duration TICK = Duration.ofMillis(100);

	private final DispatchFixture fixture = new DispatchFixture();

	private final Map<TaskKey, Integer> ticksRun = new HashMap<>();

	/**
	 * Wide jobs, with many tasks, occupy all workers before narrow jobs, with one task
	 * each, arrive. Unless waiting jobs are ordered by their remaining time, the narrow
	 * jobs wait behind the wide ones.
	 */
	@Test
	void doesNotDelayNarrowJobsBehindWideOnes() {
		for (int number = 0; number < 4; number++) {
			this.fixture.worker("host-" + number, 4_000);
		}
		for (int wide = 0; wide < 6; wide++) {
			this.fixture.submit("wide" + wide, DispatchFixture.step(16, 1_000));
		}
		run(5);
		for (int narrow = 0; narrow < 5; narrow++) {
			this.fixture.submit("narrow" + narrow, DispatchFixture.step(1, 1_000));
		}
		run(60);
		for (int narrow = 0; narrow < 5; narrow++) {
			assertThat(this.fixture.job("narrow" + narrow).state()).isEqualTo(JobState.COMPLETED);
		}
	}

	/**
	 * The load is several times the capacity of the workers, while workers restart, runs
	 * fail and the leader is lost repeatedly.
	 */
	@Test
	void keepsGuaranteesDuringOverloadAndRepeatedFailures() {
		for (long seed = 1; seed <= 20; seed++) {
			new OverloadReplayTests().replay(seed);
		}
	}

	private void replay(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<SimulatedWorker> workers = new ArrayList<>();
		for (int number = 0; number < 5; number++) {
			workers.add(this.fixture.worker("host-" + number, 4_000 + random.nextInt(4_000)));
		}
		for (int tick = 0; tick < 300; tick++) {
			if (random.nextInt(4) == 0) {
				this.fixture.submit("job" + tick, DispatchFixture.step(1 + random.nextInt(8), 1_000),
						new DispatchFixture.StepBuilder().tasks(2).after(0).build());
			}
			if (random.nextInt(25) == 0) {
				this.fixture.dispatcher.cancelled("job" + random.nextInt(tick + 1));
			}
			if (random.nextInt(60) == 0) {
				this.fixture.takeOver();
			}
			if (random.nextInt(40) == 0) {
				workers.get(random.nextInt(workers.size())).restart();
			}
			run(1);
			workers.forEach((worker) -> assertThat(worker.running.size() * 1_000)
				.isLessThanOrEqualTo(worker.description.getMilliCores()));
			assertNoTaskRunsTwice(workers);
		}
	}

	private static void assertNoTaskRunsTwice(List<SimulatedWorker> workers) {
		List<TaskKey> running = new ArrayList<>();
		workers.forEach((worker) -> running.addAll(worker.running.keySet()));
		assertThat(running).doesNotHaveDuplicates();
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
			if (this.ticksRun.merge(key, 1, Integer::sum) >= 10) {
				this.ticksRun.remove(key);
				worker.end(key, (key.hashCode() % 50 == 0) ? "failed" : "done");
			}
		}
	}

}
