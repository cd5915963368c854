package org.crocuspost.lead;

import java.util.List;

import org.crocuspost.lead.TakeoverSimulation.StoreMode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a new leader starts the long-running tasks again whose host it cannot reach.
 * Guards against two failures: tasks that stay down long after the last disruption, since
 * the new leader waits as if its predecessor had just extended their leases; and tasks
 * that start elsewhere while their former worker, whose lease a former leader has
 * extended, still runs them.
 */
class LongRunningTasksNotRestartedTests {

	/**
	 * Time from the end of the last disruption by which a long-running task must be at
	 * work again: 4 s of calm and 3 s.
	 */
	private static final double RESTART_BOUND_SECONDS = 7;

	private static final String ENTRY_1 = "entry-1";

	private static final String ENTRY_2 = "entry-2";

	private static final String ENTRY_3 = "entry-3";

	private static TakeoverSimulation start() {
		return start(1);
	}

	private static TakeoverSimulation start(double clockRate) {
		TakeoverSimulation simulation = new TakeoverSimulation(3, clockRate);
		assertThat(simulation.leader()).isEqualTo(ENTRY_1);
		assertThat(simulation.hostsOfJobOnA()).containsExactly("A", "A", "A");
		return simulation;
	}

	/**
	 * The store does not answer from 19 s on, and all entries lose power from 39 s to
	 * 40.5 s, after which the store answers.
	 */
	private static void planOutage(TakeoverSimulation simulation) {
		simulation.at(19, () -> simulation.eachEntry((entry) -> entry.store(StoreMode.SILENT)));
		simulation.at(39, () -> simulation.eachEntry(TakeoverSimulation.Entry::kill));
		simulation.at(40.5, () -> simulation.eachEntry((entry) -> entry.store(StoreMode.ANSWERING)));
	}

	private static void assertThatTasksAreRestartedBy(TakeoverSimulation simulation, double second) {
		simulation.advanceTo(second + 20);
		assertThat(simulation.tasksRunTwice()).isEmpty();
		assertThat(simulation.nextStarts()).allSatisfy((start) -> assertThat(start).isLessThanOrEqualTo(second));
	}

	@Test
	@Tag("known-red")
	void tasksAreRestartedAfterAnOutageWhenTheFormerLeaderTakesOver() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		planOutage(simulation);
		simulation.at(40.5, () -> simulation.eachEntry(TakeoverSimulation.Entry::start));
		simulation.advanceTo(45);
		assertThat(simulation.leader()).isEqualTo(ENTRY_1);
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	@Test
	void tasksOfAHostThatOnlyTheFormerLeaderReachesDoNotRunTwice() {
		TakeoverSimulation simulation = start();
		planCutOfLeader(simulation);
		simulation.advanceTo(30);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * From 20 s on, the store does not answer the leader, which alone reaches host A.
	 */
	private static void planCutOfLeader(TakeoverSimulation simulation) {
		simulation.at(20, () -> {
			simulation.entry(ENTRY_1).store(StoreMode.SILENT);
			simulation.cutPath(ENTRY_2, "A");
			simulation.cutPath(ENTRY_3, "A");
		});
	}

	private static void assertThatNoTaskRunsTwice(TakeoverSimulation simulation) {
		simulation.advanceTo(80);
		assertThat(simulation.tasksRunTwice()).isEmpty();
		// The former leader did extend the leases, and the tasks were started again.
		assertThat(simulation.endOnHostA()).isGreaterThan(30);
		assertThat(simulation.hostsOfJobOnA()).isSubsetOf(List.of("B", "C"));
	}

}
