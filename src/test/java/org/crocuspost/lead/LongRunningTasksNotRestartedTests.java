package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;

import org.crocuspost.lead.TakeoverSimulation.StoreMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

	/**
	 * Rate of the slowest clock that a worker may have.
	 */
	private static final double SLOW_CLOCK = 0.98;

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
	void tasksAreRestartedAfterAnOutageWhenTheFormerLeaderTakesOver() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		planOutage(simulation);
		simulation.at(40.5, () -> simulation.eachEntry(TakeoverSimulation.Entry::start));
		simulation.advanceTo(45);
		assertThat(simulation.leader()).isEqualTo(ENTRY_1);
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	/**
	 * Another entry takes over, and the former leader's entry is back 5 s later.
	 */
	@Test
	void tasksAreRestartedAfterAnOutageWhenAnotherEntryTakesOver() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		planOutage(simulation);
		simulation.at(40.5, simulation.entry(ENTRY_2)::start);
		simulation.at(40.5, simulation.entry(ENTRY_3)::start);
		simulation.at(45.5, simulation.entry(ENTRY_1)::start);
		simulation.advanceTo(45.4);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatTasksAreRestartedBy(simulation, 45.5 + RESTART_BOUND_SECONDS);
	}

	@Test
	void tasksAreRestartedAfterTheLeaderAndTheHostAreKilled() {
		TakeoverSimulation simulation = start();
		simulation.at(20, simulation.entry(ENTRY_1)::kill);
		simulation.at(20, simulation.host("A")::losePower);
		simulation.at(23, simulation.entry(ENTRY_1)::start);
		simulation.advanceTo(23);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatTasksAreRestartedBy(simulation, 23 + RESTART_BOUND_SECONDS);
	}

	/**
	 * The process of the former leader ends 2.6 s after it was asked to stop, which
	 * disturbs nothing more. Calm begins with the end of the host.
	 */
	@Test
	void tasksAreRestartedAfterTheLeaderResignsAndTheHostIsKilled() {
		TakeoverSimulation simulation = start();
		simulation.at(20, simulation.entry(ENTRY_1)::resign);
		simulation.at(20, simulation.host("A")::losePower);
		simulation.at(22.6, simulation.entry(ENTRY_1)::kill);
		simulation.advanceTo(21);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatTasksAreRestartedBy(simulation, 20 + RESTART_BOUND_SECONDS);
	}

	@Test
	void tasksAreRestartedAfterAnOutageWhenTheHostRestarts() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		simulation.at(28.9, simulation.host("A")::start);
		planOutage(simulation);
		simulation.at(40.5, () -> simulation.eachEntry(TakeoverSimulation.Entry::start));
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	@Test
	void tasksAreRestartedAfterAnOutageWhenOnlyTheWorkerEnded() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::endWorker);
		planOutage(simulation);
		simulation.at(40.5, () -> simulation.eachEntry(TakeoverSimulation.Entry::start));
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	/**
	 * From 20 s on, the store does not answer the leader, which alone reaches host A and
	 * goes on to extend its lease.
	 */
	private static void planCutOfLeader(TakeoverSimulation simulation) {
		simulation.at(20, () -> {
			simulation.entry(ENTRY_1).store(StoreMode.SILENT);
			simulation.cutPath(ENTRY_2, "A");
			simulation.cutPath(ENTRY_3, "A");
		});
	}

	/**
	 * Plans the loss of the leader of that time.
	 */
	private static void planKill(TakeoverSimulation simulation, double second) {
		simulation.at(second, () -> {
			assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
			simulation.entry(simulation.leader()).kill();
		});
	}

	/**
	 * Plans a restart of the process of the leader of that time.
	 */
	private static void planRestart(TakeoverSimulation simulation, double second, double duration) {
		simulation.at(second, () -> {
			assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
			TakeoverSimulation.Entry entry = simulation.entry(simulation.leader());
			entry.kill();
			simulation.at(second + duration, entry::start);
		});
	}

	private static void assertThatNoTaskRunsTwice(TakeoverSimulation simulation) {
		simulation.advanceTo(90);
		assertThat(simulation.tasksRunTwice()).isEmpty();
		// The former leader did extend the lease, and the tasks were started again.
		assertThat(simulation.endOnHostA()).isBetween(28.0, 40.0);
		assertThat(simulation.hostsOfJobOnA()).isSubsetOf(List.of("B", "C"));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 1, SLOW_CLOCK })
	void tasksOfAHostThatOnlyTheFormerLeaderReachesDoNotRunTwice(double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		planCutOfLeader(simulation);
		simulation.advanceTo(30);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatNoTaskRunsTwice(simulation);
	}

	@ParameterizedTest
	@CsvSource({ "23.5, 1", "24, 1", "27, 1", "29, 1", "31, 1", "33, 1", "36, 1", "27, 0.98", "31, 0.98" })
	void tasksDoNotRunTwiceWhenTheSecondLeaderIsLost(double lossSecond, double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		planCutOfLeader(simulation);
		planKill(simulation, lossSecond);
		simulation.advanceTo(lossSecond + 4);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The second leader's process finds its own name in the row and takes over at once.
	 * That an earlier incarnation of it has ended says nothing about its predecessor.
	 */
	@ParameterizedTest
	@CsvSource({ "23.5, 0.5, 1", "24, 1, 1", "27, 0.1, 1", "27, 1, 1", "31, 0.5, 1", "33, 0.5, 1", "27, 1, 0.98" })
	void tasksDoNotRunTwiceWhenTheSecondLeaderRestarts(double second, double duration, double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		planCutOfLeader(simulation);
		planRestart(simulation, second, duration);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * Several leaders follow one another within the time for which the first one extends
	 * leases. Each restart hands the leadership to the same entry or, if it takes longer
	 * than the takeover timeout, to the third.
	 */
	@ParameterizedTest
	@CsvSource({ "0.1, 1", "0.5, 1", "1, 1", "3.2, 1", "4, 1", "0.5, 0.98", "3.2, 0.98" })
	void tasksDoNotRunTwiceWhenSeveralLeadersAreLost(double duration, double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		planCutOfLeader(simulation);
		planRestart(simulation, 23.5, duration);
		planRestart(simulation, 28, duration);
		planRestart(simulation, 32.5, duration);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The second leader resigns. It has extended no lease of host A, but its predecessor
	 * still does.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 23.5, 26, 30 })
	void tasksDoNotRunTwiceWhenTheSecondLeaderResigns(double second) {
		TakeoverSimulation simulation = start();
		planCutOfLeader(simulation);
		simulation.at(second, () -> simulation.entry(simulation.leader()).resign());
		simulation.advanceTo(second + 1);
		assertThat(simulation.leader()).isNotEqualTo(ENTRY_1);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * Answers of the store are lost, or transactions are carried out late, while the
	 * leadership changes, and the second leader restarts thereafter.
	 */
	@ParameterizedTest
	@CsvSource({ "LOSING_ANSWERS, 22, 23", "LOSING_ANSWERS, 19, 26", "LOSING_ANSWERS, 22.3, 30", "DELAYING, 22, 23",
			"DELAYING, 19, 26", "REFUSING, 22, 24", "SILENT, 22, 25" })
	void tasksDoNotRunTwiceWhenAnswersAreLostAroundTheTakeover(StoreMode mode, double from, double until) {
		TakeoverSimulation simulation = start();
		planCutOfLeader(simulation);
		simulation.at(from, () -> {
			simulation.entry(ENTRY_2).store(mode);
			simulation.entry(ENTRY_3).store(mode);
		});
		simulation.at(until, () -> {
			simulation.entry(ENTRY_2).store(StoreMode.ANSWERING);
			simulation.entry(ENTRY_3).store(StoreMode.ANSWERING);
		});
		simulation.at(32, () -> {
			TakeoverSimulation.Entry leader = simulation.entry(simulation.leader());
			leader.kill();
			simulation.at(32.5, leader::start);
		});
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The leader's last transactions are carried out without an answer to it, before the
	 * store falls silent to it.
	 */
	@ParameterizedTest
	@CsvSource({ "LOSING_ANSWERS, 17.8", "LOSING_ANSWERS, 19", "DELAYING, 19", "REFUSING, 19" })
	void tasksDoNotRunTwiceWhenTheLastAnswersToTheFormerLeaderAreLost(StoreMode mode, double from) {
		TakeoverSimulation simulation = start();
		simulation.at(from, () -> simulation.entry(ENTRY_1).store(mode));
		planCutOfLeader(simulation);
		planRestart(simulation, 27, 0.5);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The store restarts between the leaders, and its steady clock starts anew or is
	 * behind.
	 */
	@ParameterizedTest
	@CsvSource({ "20.5, -40.5, 1", "20.5, -3, 1", "22, -42, 1", "25, -45, 1", "25, -12, 1", "27.2, -47.2, 1",
			"27.2, -5, 1", "29, -49, 1", "25, -45, 0.98" })
	void tasksDoNotRunTwiceWhenTheClockOfTheStoreIsSetBack(double second, double shift, double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		planCutOfLeader(simulation);
		simulation.at(second, () -> simulation.shiftStoreClock(Duration.ofMillis(Math.round(shift * 1_000))));
		planRestart(simulation, 27, 0.5);
		planKill(simulation, 31);
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The worker's clock is 2% slow, so its lease lasts longer than those of others.
	 */
	@Test
	void tasksOfAHostWithASlowClockAreRestartedAfterAnOutage() {
		TakeoverSimulation simulation = start(SLOW_CLOCK);
		simulation.at(18.9, simulation.host("A")::losePower);
		planOutage(simulation);
		simulation.at(40.5, () -> simulation.eachEntry(TakeoverSimulation.Entry::start));
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	@Test
	void tasksAreRestartedAfterAnOutageWhenTheFormerLeaderStaysAway() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		planOutage(simulation);
		simulation.at(40.5, simulation.entry(ENTRY_2)::start);
		simulation.at(40.5, simulation.entry(ENTRY_3)::start);
		assertThatTasksAreRestartedBy(simulation, 40.5 + RESTART_BOUND_SECONDS);
	}

	/**
	 * The store answers all the time. The entry that led is back last, so another one
	 * takes over.
	 */
	@Test
	void tasksAreRestartedAfterAPowerLossWhenTheFormerLeaderIsBackLast() {
		TakeoverSimulation simulation = start();
		simulation.at(18.9, simulation.host("A")::losePower);
		simulation.at(20, () -> simulation.eachEntry(TakeoverSimulation.Entry::kill));
		simulation.at(21.5, simulation.entry(ENTRY_2)::start);
		simulation.at(21.5, simulation.entry(ENTRY_3)::start);
		simulation.at(24.5, simulation.entry(ENTRY_1)::start);
		assertThatTasksAreRestartedBy(simulation, 24.5 + RESTART_BOUND_SECONDS);
	}

	/**
	 * The agent of host A restarts while the store does not answer it, so it does not
	 * know the epoch and obeys the former leader, which goes on to extend the lease. The
	 * new leader, to which the former incarnation of the agent has reported, is cut off.
	 */
	@Test
	void tasksDoNotRunTwiceWhenARestartedAgentObeysTheFormerLeader() {
		TakeoverSimulation simulation = start();
		simulation.at(20, () -> simulation.entry(ENTRY_1).store(StoreMode.SILENT));
		simulation.at(24, () -> {
			simulation.host("A").restartAgent();
			simulation.cutPath(ENTRY_2, "A");
			simulation.cutPath(ENTRY_3, "A");
		});
		simulation.advanceTo(90);
		assertThat(simulation.tasksRunTwice()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(doubles = { 20, 21, 22, 24, 26, 30 })
	void tasksDoNotRunTwiceWhenTheAgentRestartsAroundTheTakeover(double second) {
		TakeoverSimulation simulation = start();
		planCutOfLeader(simulation);
		simulation.at(second, () -> simulation.host("A").restartAgent());
		assertThatNoTaskRunsTwice(simulation);
	}

	/**
	 * The host is lost while the former leader, whose process does not come back, might
	 * still extend leases. Its worker has rejected that leader since the takeover, so its
	 * tasks need not wait for the end of that time, 13.3 s and a lease after the
	 * takeover.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 23, 23.5, 24, 26, 30, 34 })
	void tasksAreRestartedAfterTheirHostIsLostSoonAfterATakeover(double second) {
		TakeoverSimulation simulation = start();
		simulation.at(20, simulation.entry(ENTRY_1)::kill);
		simulation.at(second, simulation.host("A")::losePower);
		assertThatTasksAreRestartedBy(simulation, second + RESTART_BOUND_SECONDS);
	}

	/**
	 * The worker is lost around the takeover, and its agent goes on.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 19, 20, 22, 22.6, 23.5, 25 })
	void tasksAreRestartedAfterTheirWorkerIsLostAroundATakeover(double second) {
		TakeoverSimulation simulation = start();
		simulation.at(20, simulation.entry(ENTRY_1)::kill);
		simulation.at(second, simulation.host("A")::endWorker);
		assertThatTasksAreRestartedBy(simulation, Math.max(20, second) + RESTART_BOUND_SECONDS);
	}

	/**
	 * The store answers nobody, so the leader is still the newest one and must go on to
	 * extend the leases of a host whose agent restarts.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 20.5, 22, 25, 28 })
	void tasksRunOnWhenTheAgentRestartsDuringAnOutage(double second) {
		TakeoverSimulation simulation = start();
		simulation.at(20, () -> simulation.eachEntry((entry) -> entry.store(StoreMode.SILENT)));
		simulation.at(29, () -> simulation.eachEntry((entry) -> entry.store(StoreMode.ANSWERING)));
		simulation.at(second, simulation.host("A")::restartAgent);
		simulation.advanceTo(60);
		assertThat(simulation.hostsOfJobOnA()).containsExactly("A", "A", "A");
		assertThat(simulation.endOnHostA()).isInfinite();
	}

	/**
	 * The agent of host A restarts twice without an answer of the store, while the former
	 * leader reaches it and the others do not.
	 */
	@ParameterizedTest
	@CsvSource({ "23.1, 24, 29.5, 1", "24, 23.1, 29.5, 1", "26, 24, 31, 1", "23.2, 23.2, 60, 1", "28, 24, 33, 1",
			"24, 24, 29.5, 0.98", "26, 23.1, 45, 0.98" })
	void tasksDoNotRunTwiceWhenARestartedAgentObeysTheFormerLeaderForATime(double restart, double cut, double restored,
			double clockRate) {
		TakeoverSimulation simulation = start(clockRate);
		simulation.at(20, () -> simulation.entry(ENTRY_1).store(StoreMode.SILENT));
		simulation.at(29, () -> simulation.entry(ENTRY_1).store(StoreMode.ANSWERING));
		simulation.at(restart, simulation.host("A")::restartAgent);
		simulation.at(restart + 1.5, simulation.host("A")::restartAgent);
		for (String entry : List.of(ENTRY_2, ENTRY_3)) {
			simulation.at(cut, () -> simulation.cutPath(entry, "A"));
			simulation.at(restored, () -> simulation.restorePath(entry, "A"));
		}
		simulation.advanceTo(90);
		assertThat(simulation.tasksRunTwice()).isEmpty();
		assertThat(simulation.hostsOfJobOnA()).doesNotContain("-");
	}

}
