package org.crocuspost.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A day with faults that overlap, drawn by seed, which all end before the calm.
 */
final class WaitingTaskScenario {

	private static final double TRAFFIC_BEGINS = 8;

	private static final double FINAL_FAULT = 34;

	/**
	 * Second from which nothing is disturbed.
	 */
	private static final double CALM = 40;

	private static final double FINISH_SECONDS = 14;

	private static final double END = 64;

	private static final List<Double> SHARES = List.of(0.05, 0.3, 0.7, 1.0);

	private final WaitingTaskSimulation simulation;

	private final SplittableRandom random;

	private final List<String> faults = new ArrayList<>();

	private final boolean faultyWorkersRemain;

	/**
	 * Draws a day.
	 * @param seed the seed
	 * @param scale the size of the deployment and of its load
	 * @param faultyWorkersRemain whether up to four workers are faulty until the end
	 */
	WaitingTaskScenario(long seed, WaitingTaskSimulation.Scale scale, boolean faultyWorkersRemain) {
		this.simulation = new WaitingTaskSimulation(seed, scale);
		this.random = new SplittableRandom(seed * 7_919);
		this.faultyWorkersRemain = faultyWorkersRemain;
	}

	WaitingTaskSimulation simulation() {
		return this.simulation;
	}

	/**
	 * Returns the faults of the day.
	 * @return the faults with their times
	 */
	String faults() {
		return String.join(" | ", this.faults);
	}

	/**
	 * Plays the day.
	 */
	void play() {
		int services = 2 + this.random.nextInt(8);
		this.simulation.at(5, () -> {
			for (int number = 0; number < services; number++) {
				this.simulation.submitService();
			}
		});
		int count = 4 + this.random.nextInt(12);
		for (int number = 0; number < count; number++) {
			double from = TRAFFIC_BEGINS + 2 + this.random.nextDouble() * (CALM - TRAFFIC_BEGINS - 5);
			double until = Math.min(CALM, from + 0.3 + this.random.nextDouble() * (this.random.nextBoolean() ? 3 : 12));
			disturb(from, until);
		}
		boolean last = endAll();
		this.simulation.trafficBetween(TRAFFIC_BEGINS, last ? CALM : FINAL_FAULT);
		if (this.faultyWorkersRemain) {
			leaveWorkersFaulty();
		}
		this.simulation.judgeFrom(CALM + FINISH_SECONDS);
		this.simulation.advanceTo(END);
	}

	private void leaveWorkersFaulty() {
		int workers = 1 + this.random.nextInt(4);
		SimulatedWorker.Fault fault = SimulatedWorker.Fault.values()[this.random
			.nextInt(SimulatedWorker.Fault.values().length)];
		for (int number = 0; number < workers; number++) {
			int index = this.random.nextInt(this.simulation.hosts().size());
			log(CALM, END, "host " + index + " " + fault);
			this.simulation.at(CALM - 10, () -> this.simulation.hosts().get(index).faults().add(fault));
			this.simulation.at(CALM + 0.001, () -> this.simulation.hosts().get(index).faults().add(fault));
		}
	}

	private void log(double from, double until, String what) {
		this.faults.add(String.format(Locale.ROOT, "%.1f-%.1f %s", from, until, what));
	}

	private boolean endAll() {
		int kind = this.random.nextInt(5);
		double until = FINAL_FAULT + 0.5 + 3 * this.random.nextDouble();
		switch (kind) {
			case 0 -> {
				return false;
			}
			case 1 -> {
				log(FINAL_FAULT, until, "all power");
				this.simulation.at(FINAL_FAULT, () -> {
					this.simulation.entries().forEach((entry) -> entry.end(true));
					this.simulation.hosts().forEach((host) -> {
						host.endAgent(true);
						host.endWorker();
					});
				});
				this.simulation.hosts().forEach((host) -> {
					double back = until + this.random.nextDouble();
					boolean newId = this.random.nextBoolean();
					this.simulation.at(back, host::start);
					this.simulation.at(back + this.random.nextDouble(), () -> host.startWorker(newId));
				});
			}
			case 2 -> {
				log(FINAL_FAULT, until, "all processes killed");
				this.simulation.at(FINAL_FAULT, () -> {
					this.simulation.entries().forEach((entry) -> entry.end(false));
					this.simulation.hosts().forEach((host) -> host.endAgent(false));
				});
				this.simulation.hosts()
					.forEach((host) -> this.simulation.at(until + this.random.nextDouble(), host::start));
			}
			case 3 -> {
				log(FINAL_FAULT, until, "all entries killed");
				this.simulation.at(FINAL_FAULT, () -> this.simulation.entries().forEach((entry) -> entry.end(false)));
			}
			default -> {
				log(FINAL_FAULT, until, "leader's power");
				this.simulation.at(FINAL_FAULT, () -> this.simulation.leader().ifPresent((entry) -> entry.end(true)));
			}
		}
		this.simulation.entries()
			.forEach((entry) -> this.simulation.at(until + this.random.nextDouble(), entry::start));
		return true;
	}

	private void disturb(double from, double until) {
		double share = SHARES.get(this.random.nextInt(SHARES.size()));
		List<WaitingTaskSimulation.Host> hosts = this.simulation.hosts()
			.stream()
			.filter((host) -> this.random.nextDouble() < share)
			.toList();
		boolean newId = this.random.nextBoolean();
		int kind = this.random.nextInt(18);
		log(from, until, "kind " + kind + " " + share + " " + newId);
		switch (kind) {
			case 0 -> {
				this.simulation.at(from, () -> this.simulation.leader().ifPresent((leader) -> leader.end(newId)));
				this.simulation.at(until, () -> this.simulation.entries().forEach(WaitingTaskSimulation.Entry::start));
			}
			case 1 -> {
				this.simulation.at(from, () -> this.simulation.entries().forEach((each) -> each.end(newId)));
				this.simulation.at(until, () -> this.simulation.entries().forEach(WaitingTaskSimulation.Entry::start));
			}
			case 2 -> {
				this.simulation.at(from, () -> hosts.forEach((host) -> host.endAgent(newId)));
				hosts.forEach(
						(host) -> this.simulation.at(from + this.random.nextDouble() * (until - from), host::start));
			}
			case 3, 4 -> {
				this.simulation.at(from, () -> hosts.forEach(WaitingTaskSimulation.Host::endWorker));
				hosts.forEach((host) -> this.simulation.at(from + this.random.nextDouble() * (until - from),
						() -> host.startWorker(newId)));
			}
			case 5 -> this.simulation.at(from,
					() -> hosts.stream().limit(6).forEach(WaitingTaskSimulation.Host::leaveForGood));
			case 6, 7, 8, 9 -> {
				SimulatedWorker.Fault fault = SimulatedWorker.Fault.values()[this.random
					.nextInt(SimulatedWorker.Fault.values().length)];
				this.faults.add(fault.name());
				this.simulation.at(from, () -> hosts.forEach((host) -> host.faults().add(fault)));
				this.simulation.at(until, () -> hosts.forEach((host) -> host.faults().remove(fault)));
			}
			case 10 -> {
				hosts.forEach((host) -> this.simulation.entries().forEach((each) -> {
					String path = newId ? each.name() + ">" + host.name() : host.name() + ">" + each.name();
					this.simulation.at(from, () -> this.simulation.cutPath(path));
					this.simulation.at(until, () -> this.simulation.restorePath(path));
				}));
			}
			case 11, 12 -> disturbStore(kind == 11, from, until);
			case 13 -> this.simulation.at(from, this.simulation.store()::forget);
			case 14 -> {
				this.simulation.at(from, () -> this.simulation.evacuate(Set.of("zone-" + this.random.nextInt(5))));
				this.simulation.at(until, () -> this.simulation.evacuate(Set.of()));
			}
			case 15 -> cutBothWays(hosts, from, until);
			case 16 -> crashRepeatedly(hosts, newId, from, until);
			default ->
				this.simulation.at(Math.min(from, CALM - 7), () -> hosts.forEach(WaitingTaskSimulation.Host::drain));
		}
	}

	private void disturbStore(boolean all, double from, double until) {
		SimulatedStore.Mode mode = SimulatedStore.Mode.values()[1
				+ this.random.nextInt(SimulatedStore.Mode.values().length - 1)];
		boolean leading = this.random.nextBoolean();
		int index = this.random.nextInt(this.simulation.entries().size());
		this.faults.add((all ? "all " : leading ? "leader " : "entry-" + index + " ") + mode);
		List<WaitingTaskSimulation.Entry> chosen = new ArrayList<>();
		this.simulation.at(from, () -> {
			WaitingTaskSimulation.Entry entry = this.simulation.entries().get(index);
			chosen.addAll(all ? this.simulation.entries()
					: List.of(leading ? this.simulation.leader().orElse(entry) : entry));
			chosen.forEach((each) -> each.mode(mode));
		});
		this.simulation.at(until, () -> chosen.forEach((each) -> each.mode(SimulatedStore.Mode.ANSWERING)));
	}

	private void cutBothWays(List<WaitingTaskSimulation.Host> hosts, double from, double until) {
		hosts.forEach((host) -> this.simulation.entries().forEach((entry) -> {
			this.simulation.at(from, () -> {
				this.simulation.cutPath(entry.name() + ">" + host.name());
				this.simulation.cutPath(host.name() + ">" + entry.name());
			});
			this.simulation.at(until, () -> {
				this.simulation.restorePath(entry.name() + ">" + host.name());
				this.simulation.restorePath(host.name() + ">" + entry.name());
			});
		}));
	}

	private void crashRepeatedly(List<WaitingTaskSimulation.Host> hosts, boolean newId, double from, double until) {
		hosts.forEach((host) -> {
			double second = from + 2 * this.random.nextDouble();
			while (second < until - 1) {
				this.simulation.at(second, host::endWorker);
				this.simulation.at(second + 0.7, () -> host.startWorker(newId));
				second += 1.5 + 2 * this.random.nextDouble();
			}
			this.simulation.at(until, () -> host.startWorker(newId));
		});
	}

}
