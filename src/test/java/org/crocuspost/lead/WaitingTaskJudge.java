package org.crocuspost.lead;

import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.WaitingTaskDiagnosis;
import org.crocuspost.job.JobState;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.time.VirtualTime;

/**
 * Finds jobs of which nothing runs for some time although one of their tasks could, by
 * what the workers really run.
 */
final class WaitingTaskJudge {

	/**
	 * How long a job may have nothing running while a task could run.
	 */
	private static final double MAXIMUM_IDLE_SECONDS = 3;

	/**
	 * Time after the last run of a long-running task from which the limit applies.
	 */
	private static final double RESTART_SECONDS = 6;

	private final VirtualTime time;

	private final MemoryRowStore rows;

	private final Supplier<Optional<WaitingTaskSimulation.Entry>> leader;

	private final Map<String, Double> idleSince = new HashMap<>();

	private final Map<String, String> waiting = new TreeMap<>();

	WaitingTaskJudge(VirtualTime time, MemoryRowStore rows, Supplier<Optional<WaitingTaskSimulation.Entry>> leader) {
		this.time = time;
		this.rows = rows;
		this.leader = leader;
	}

	/**
	 * Returns the jobs that waited too long.
	 * @return a line for each, with what the leader knew of it
	 */
	List<String> waitingTasks() {
		return List.copyOf(this.waiting.values());
	}

	private double seconds() {
		return this.time.nanoTime() / 1e9;
	}

	/**
	 * Looks at what runs now.
	 * @param hosts the hosts
	 * @param jobs the accepted jobs
	 * @param evacuated the zones in which nothing may start
	 */
	void judge(List<WaitingTaskSimulation.Host> hosts, Collection<SimulatedJob> jobs, Set<String> evacuated) {
		Map<TaskKey, SimulatedWorker> running = new HashMap<>();
		Set<String> active = new LinkedHashSet<>();
		double cores = 0;
		double memory = 0;
		int workers = 0;
		Map<SimulatedWorker, int[]> free = new LinkedHashMap<>();
		for (WaitingTaskSimulation.Host host : hosts) {
			if (!host.worker().up() || host.gone()) {
				continue;
			}
			workers++;
			int[] room = { SimulatedWorker.MILLI_CORES, SimulatedWorker.MEMORY_MEGABYTES };
			for (SimulatedWorker.Run run : host.worker().running().values()) {
				running.put(run.task(), host.worker());
				active.add(run.task().job());
				room[0] -= run.step().reservedMilliCores();
				room[1] -= run.step().memoryMegabytes();
			}
			cores += SimulatedWorker.MILLI_CORES - room[0];
			memory += SimulatedWorker.MEMORY_MEGABYTES - room[1];
			if (!host.worker().draining() && !evacuated.contains(host.zone())) {
				free.put(host.worker(), room);
			}
		}
		boolean halfFree = cores < 0.5 * workers * SimulatedWorker.MILLI_CORES
				&& memory < 0.5 * workers * SimulatedWorker.MEMORY_MEGABYTES;
		for (SimulatedJob job : jobs) {
			if (job.finished() || job.stored(this.rows).filter(JobState::terminal).isPresent()) {
				continue;
			}
			Optional<TaskKey> idle = job.dueTasks().stream().filter((task) -> !running.containsKey(task)).findFirst();
			boolean waits = idle.isPresent() && !job.mayFail() && halfFree
					&& (job.lasting() || !active.contains(job.id())) && room(job, idle.get(), free) >= 2;
			if (!waits) {
				this.idleSince.remove(job.id());
				continue;
			}
			double since = this.idleSince.computeIfAbsent(job.id(), (id) -> seconds());
			double limit = MAXIMUM_IDLE_SECONDS + (job.lasting() ? RESTART_SECONDS : 0);
			if (seconds() - since > limit && !this.waiting.containsKey(job.id())) {
				this.waiting.put(job.id(), describe(job, idle.get()));
			}
		}
	}

	private static long room(SimulatedJob job, TaskKey task, Map<SimulatedWorker, int[]> free) {
		StepSpecification step = job.steps().get(task.step());
		return free.values()
			.stream()
			.mapToLong((room) -> Math.min(room[1] / step.memoryMegabytes(),
					(step.reservedMilliCores() == 0) ? Long.MAX_VALUE : room[0] / step.reservedMilliCores()))
			.sum();
	}

	private String describe(SimulatedJob job, TaskKey task) {
		String prefix = String.format(Locale.ROOT, "%.2f s: %s, %s, accepted at %.2f s: ", seconds(), task, job.queue(),
				job.acceptedSecond());
		Optional<WaitingTaskSimulation.Entry> leader = this.leader.get();
		if (leader.isEmpty()) {
			return prefix + "no entry leads, row " + leaderRow();
		}
		Object term = field(leader.get().elector(), "leader");
		return prefix + leader.get().name() + " leads, restored " + field(term, "restored") + ", leader's row "
				+ leaderRow() + ", may assign " + invoke(term, "mayAssign") + "; "
				+ WaitingTaskDiagnosis.describe((Dispatcher) field(term, "dispatcher"), task);
	}

	private String leaderRow() {
		return this.rows.row(Tables.LEDGER, Tables.LEADER_KEY).value();
	}

	private static Object field(Object owner, String name) {
		try {
			Field field = owner.getClass().getDeclaredField(name);
			field.setAccessible(true);
			return field.get(owner);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Object invoke(Object owner, String name) {
		try {
			Method method = owner.getClass().getDeclaredMethod(name);
			method.setAccessible(true);
			return method.invoke(owner);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
