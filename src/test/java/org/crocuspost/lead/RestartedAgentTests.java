package org.crocuspost.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import org.crocuspost.lead.WaitingTaskSimulation.Entry;
import org.crocuspost.lead.WaitingTaskSimulation.Host;
import org.crocuspost.lead.WaitingTaskSimulation.Scale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no task runs twice when agents restart while the store does not answer them.
 * Guards against a restarted agent that passes on the extensions of a leader that has
 * been replaced, while the present leader counts the lease from its own last extension.
 */
class RestartedAgentTests {

	private static final Scale SCALE = new Scale(3, 8, 0, 200);

	private static final double DISRUPTIONS_BEGIN = 14;

	private static final double DISRUPTIONS_END = 64;

	private static final int SEEDS = 200;

	private static void cut(WaitingTaskSimulation simulation, Entry entry, Host host) {
		simulation.cutPath(entry.name() + ">" + host.name());
		simulation.cutPath(host.name() + ">" + entry.name());
	}

	private static void restore(WaitingTaskSimulation simulation, Entry entry, Host host) {
		simulation.restorePath(entry.name() + ">" + host.name());
		simulation.restorePath(host.name() + ">" + entry.name());
	}

	/**
	 * The store does not answer the leader from second 14 on, and another entry leads
	 * from about 18 s on. The agents of some hosts restart, and only the former leader
	 * reaches them until their paths are restored.
	 * @param restart when the agents restart
	 * @param cut when the paths of the other entries are cut
	 * @param restored when these paths are restored
	 * @param hosts the number of hosts
	 */
	@ParameterizedTest
	@CsvSource({ "18.4, 18.4, 25, 1", "18.4, 18.4, 60, 1", "18.4, 19.9, 25.4, 3", "17.4, 17.4, 24, 8",
			"20, 18.5, 25, 2", "23, 18.5, 30, 2", "19, 22, 30, 2", "21, 21, 27, 8", "24, 24, 31, 4", "27, 24, 34, 4" })
	void tasksDoNotRunTwiceWhenOnlyTheFormerLeaderReachesRestartedAgents(double restart, double cut, double restored,
			int hosts) {
		WaitingTaskSimulation simulation = new WaitingTaskSimulation(1, SCALE);
		simulation.at(5, simulation::submitService);
		simulation.advanceTo(DISRUPTIONS_BEGIN);
		Entry former = simulation.leader().orElseThrow();
		former.mode(SimulatedStore.Mode.SILENT);
		List<Host> disrupted = simulation.hosts().subList(0, hosts);
		List<Entry> others = simulation.entries().stream().filter((entry) -> entry != former).toList();
		disrupted.forEach((host) -> {
			host.storeMode(SimulatedStore.Mode.SILENT);
			simulation.at(restart, () -> host.endAgent(false));
			simulation.at(restart + 0.4, host::start);
			others.forEach((entry) -> {
				simulation.at(cut, () -> cut(simulation, entry, host));
				simulation.at(restored, () -> restore(simulation, entry, host));
			});
		});
		simulation.advanceTo(18.3);
		assertThat(others).anySatisfy((entry) -> assertThat(leads(entry)).isTrue());
		simulation.advanceTo(70);
		assertThat(simulation.tasksRunTwice()).isEmpty();
	}

	/**
	 * The worker does not answer around the takeover, so it has not rejected the former
	 * leader yet when the next leader hears its agent. Then the agent restarts, and the
	 * worker answers again before its lease lapses.
	 */
	@ParameterizedTest
	@CsvSource({ "16.8, 19, 20.5", "16.5, 18.6, 20", "17, 18.5, 22" })
	void tasksDoNotRunTwiceWhenTheWorkerWasSilentAroundTheTakeover(double silent, double restart, double answers) {
		WaitingTaskSimulation simulation = new WaitingTaskSimulation(1, SCALE);
		simulation.at(5, simulation::submitService);
		simulation.advanceTo(DISRUPTIONS_BEGIN);
		Entry former = simulation.leader().orElseThrow();
		former.mode(SimulatedStore.Mode.SILENT);
		Host host = simulation.hosts().get(0);
		simulation.at(silent, () -> host.faults().add(SimulatedWorker.Fault.SILENT));
		simulation.at(answers, () -> host.faults().clear());
		host.storeMode(SimulatedStore.Mode.SILENT);
		simulation.advanceTo(restart);
		host.endAgent(false);
		simulation.entries().stream().filter((entry) -> entry != former).forEach((entry) -> {
			assertThat(simulation.leader()).isPresent();
			cut(simulation, entry, host);
			simulation.at(40, () -> restore(simulation, entry, host));
		});
		simulation.at(restart + 0.1, host::start);
		simulation.advanceTo(70);
		assertThat(simulation.tasksRunTwice()).isEmpty();
	}

	/**
	 * The store answers nobody, so the leader is still the newest one. Its extensions
	 * must reach the workers although their agents do not know the epoch.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 14.5, 16, 19, 22 })
	void tasksRunOnWhenAgentsRestartDuringAnOutage(double restart) {
		WaitingTaskSimulation simulation = new WaitingTaskSimulation(1, SCALE);
		simulation.at(5, simulation::submitService);
		simulation.advanceTo(DISRUPTIONS_BEGIN);
		Set<SimulatedWorker.Run> before = runs(simulation);
		simulation.entries().forEach((entry) -> {
			entry.mode(SimulatedStore.Mode.SILENT);
			simulation.at(DISRUPTIONS_BEGIN + 9, () -> entry.mode(SimulatedStore.Mode.ANSWERING));
		});
		simulation.hosts().forEach((host) -> {
			host.storeMode(SimulatedStore.Mode.SILENT);
			simulation.at(restart, () -> host.endAgent(false));
			simulation.at(restart + 0.4, host::start);
		});
		simulation.advanceTo(40);
		assertThat(runs(simulation)).isEqualTo(before).hasSize(24);
	}

	private static Set<SimulatedWorker.Run> runs(WaitingTaskSimulation simulation) {
		return simulation.hosts()
			.stream()
			.flatMap((host) -> host.worker().running().values().stream())
			.collect(Collectors.toSet());
	}

	private static boolean leads(Entry entry) {
		return entry.elector() != null && entry.elector().isLeader();
	}

	@Test
	void tasksDoNotRunTwiceWhileAgentsRestartAtRandom() {
		List<String> violations = new ArrayList<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			WaitingTaskSimulation simulation = new WaitingTaskSimulation(seed, SCALE);
			simulation.at(5, simulation::submitService);
			disrupt(simulation, new SplittableRandom(seed));
			simulation.advanceTo(DISRUPTIONS_END + 30);
			long violated = seed;
			simulation.tasksRunTwice().forEach((line) -> violations.add("seed " + violated + ": " + line));
		}
		assertThat(violations).isEmpty();
	}

	/**
	 * Draws three times in which the store does not answer the leader and some agents,
	 * which restart, while other entries do not reach them, and other faults.
	 */
	private static void disrupt(WaitingTaskSimulation simulation, SplittableRandom random) {
		for (int number = 0; number < 3; number++) {
			partition(simulation, random, DISRUPTIONS_BEGIN + 17 * number + 3 * random.nextDouble());
		}
		for (double second = DISRUPTIONS_BEGIN; second < DISRUPTIONS_END; second += 1 + 6 * random.nextDouble()) {
			double end = second + (random.nextBoolean() ? random.nextDouble() : 8 * random.nextDouble());
			Entry entry = simulation.entries().get(random.nextInt(SCALE.entries()));
			Host host = simulation.hosts().get(random.nextInt(SCALE.hosts()));
			switch (random.nextInt(4)) {
				case 0 -> {
					simulation.at(second, () -> entry.end(random.nextBoolean()));
					simulation.at(end, entry::start);
				}
				case 1 -> {
					simulation.at(second, () -> simulation.leader().ifPresent((leader) -> leader.end(false)));
					simulation.at(end, () -> simulation.entries().forEach(Entry::start));
				}
				case 2 -> {
					simulation.at(second, () -> cut(simulation, entry, host));
					simulation.at(end, () -> restore(simulation, entry, host));
				}
				default -> {
					SimulatedWorker.Fault fault = random.nextBoolean() ? SimulatedWorker.Fault.SILENT
							: SimulatedWorker.Fault.STARTS_LATE;
					simulation.at(second, () -> host.faults().add(fault));
					simulation.at(end, () -> host.faults().remove(fault));
				}
			}
		}
	}

	/**
	 * Lets only the leader of that time reach some hosts for a time, in which the store
	 * does not answer it or the agents of these hosts, which restart.
	 */
	private static void partition(WaitingTaskSimulation simulation, SplittableRandom random, double second) {
		simulation.at(second, () -> simulation.leader().ifPresent((former) -> {
			former.mode(SimulatedStore.Mode.SILENT);
			simulation.at(second + 9, () -> former.mode(SimulatedStore.Mode.ANSWERING));
			for (Host host : simulation.hosts()) {
				if (random.nextBoolean()) {
					partitionHost(simulation, random, former, host);
				}
			}
		}));
	}

	private static void partitionHost(WaitingTaskSimulation simulation, SplittableRandom random, Entry former,
			Host host) {
		double now = simulation.seconds();
		for (int restarts = 1 + random.nextInt(2); restarts > 0; restarts--) {
			double restart = now + 1 + 7 * random.nextDouble();
			simulation.at(restart, () -> {
				host.storeMode(SimulatedStore.Mode.SILENT);
				host.endAgent(random.nextBoolean());
			});
			simulation.at(restart + 0.1 + random.nextDouble(), host::start);
		}
		double cut = now + 2.5 + 4 * random.nextDouble();
		double restored = cut + 3 + 12 * random.nextDouble();
		simulation.entries().stream().filter((entry) -> entry != former).forEach((entry) -> {
			simulation.at(cut, () -> cut(simulation, entry, host));
			simulation.at(restored, () -> restore(simulation, entry, host));
		});
		simulation.at(now + 9, () -> host.storeMode(SimulatedStore.Mode.ANSWERING));
	}

}
