package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.crocuspost.lead.TakeoverSimulation.StoreMode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no task runs twice while entries, the store and paths fail at random.
 */
class RandomTakeoverTests {

	private static final List<String> HOSTS = List.of("A", "B", "C");

	private static final double DISRUPTION_SECONDS = 50;

	private static final long SEEDS = 20;

	/**
	 * Guards against a leader that starts a task again although a former leader still
	 * extends the lease of its worker.
	 */
	@Test
	void noTaskRunsTwiceWhileLeadersFailAtRandom() {
		List<String> violations = new ArrayList<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			TakeoverSimulation simulation = new TakeoverSimulation(3, (seed % 2 == 0) ? 1 : 0.98);
			disrupt(simulation, new SplittableRandom(seed));
			simulation.advanceTo(DISRUPTION_SECONDS + 30);
			long violated = seed;
			simulation.tasksRunTwice().forEach((line) -> violations.add("seed " + violated + ": " + line));
		}
		assertThat(violations).isEmpty();
	}

	private static void disrupt(TakeoverSimulation simulation, SplittableRandom random) {
		for (double second = 1; second < DISRUPTION_SECONDS; second += 0.2 + 3 * random.nextDouble()) {
			double duration = random.nextBoolean() ? random.nextDouble() : 12 * random.nextDouble();
			String name = "entry-" + (1 + random.nextInt(3));
			TakeoverSimulation.Entry entry = simulation.entry(name);
			switch (random.nextInt(6)) {
				case 0, 1 -> {
					simulation.at(second, entry::kill);
					simulation.at(second + duration, () -> {
						entry.kill();
						entry.start();
					});
				}
				case 2, 3 -> {
					StoreMode mode = StoreMode.values()[1 + random.nextInt(StoreMode.values().length - 1)];
					simulation.at(second, () -> entry.store(mode));
					simulation.at(second + duration, () -> entry.store(StoreMode.ANSWERING));
				}
				case 4 -> {
					String host = HOSTS.get(random.nextInt(HOSTS.size()));
					simulation.at(second, () -> simulation.cutPath(name, host));
					simulation.at(second + 3 * duration, () -> simulation.restorePath(name, host));
				}
				default -> {
					long millis = 1 + random.nextInt(30_000);
					simulation.at(second, () -> simulation
						.shiftStoreClock(Duration.ofMillis(-Math.min(millis, simulation.storeClockMillis()))));
				}
			}
		}
	}

}
