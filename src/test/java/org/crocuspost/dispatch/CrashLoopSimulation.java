package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.crocuspost.dispatch.DispatchFixture.SimulatedWorker;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;

/**
 * Plays the leader against workers that crash at the start of certain tasks and are back
 * some seconds later. Leaders and agents are replaced, hosts are cut off and workers
 * crash for other reasons on request.
 */
final class CrashLoopSimulation {

	static final Duration STEP = Duration.ofMillis(50);

	/**
	 * Time without a report after which the leader closes a connection.
	 */
	private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

	private static final int MILLI_CORES = 16_000;

	final DispatchFixture fixture = new DispatchFixture();

	private final Random random;

	private final Duration downTime;

	private final boolean newIdentity;

	private final Set<TaskKey> deadly = new HashSet<>();

	private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();

	private final Map<TaskKey, Integer> startsByTask = new HashMap<>();

	private final Map<TaskKey, Integer> crashesByTask = new HashMap<>();

	private final Map<TaskKey, Integer> startsAfterThirdCrash = new HashMap<>();

	private int crashes;

	private Duration crashDelay = Duration.ZERO;

	/**
	 * Creates the simulation.
	 * @param seed the seed of the run times
	 * @param hostCount the number of hosts
	 * @param downTime how long a crashed worker is down
	 * @param newIdentity whether a worker has another identity after a crash
	 */
	CrashLoopSimulation(long seed, int hostCount, Duration downTime, boolean newIdentity) {
		this.random = new Random(seed);
		this.downTime = downTime;
		this.newIdentity = newIdentity;
		for (int number = 0; number < hostCount; number++) {
			String name = "host-" + number;
			this.hosts.put(name, new SimulatedHost(this.fixture.worker(name, MILLI_CORES)));
		}
	}

	void submit(String id, StepSpecification step) {
		this.fixture.submit(id, step);
	}

	void submitDeadly(String id, StepSpecification step, int... indexes) {
		for (int index : indexes) {
			this.deadly.add(new TaskKey(id, 0, 0, index));
		}
		submit(id, step);
	}

	/**
	 * Sets the time from the start of a deadly task to the crash of its worker.
	 * @param delay the time; zero by default
	 */
	void crashAfter(Duration delay) {
		this.crashDelay = delay;
	}

	void run(Duration duration) {
		for (long elapsed = 0; elapsed < duration.toMillis(); elapsed += STEP.toMillis()) {
			step();
		}
	}

	void step() {
		this.hosts.values().forEach(SimulatedHost::advance);
		this.fixture.reports.expireLeases(Duration.ofSeconds(18), 0);
		this.fixture.runSchedulingRound();
		this.hosts.values().forEach(SimulatedHost::startRuns);
		this.fixture.time.advance(STEP);
	}

	void replaceLeader() {
		this.fixture.takeOver();
	}

	void replaceAgent(int number) {
		host(number).agentIncarnation++;
	}

	void cut(int number, Duration duration) {
		host(number).reachableMillis = now() + duration.toMillis();
	}

	/**
	 * Cuts off the reports of the host to which a task is assigned.
	 * @param task the task
	 * @param duration the time without reports
	 */
	void cutReportsOfHost(TaskKey task, Duration duration) {
		cutReports(this.hosts.get(this.fixture.job(task.job()).task(task).host()), duration);
	}

	/**
	 * Cuts off the reports of a host, while the orders of the leader still arrive. The
	 * leader closes each connection without reports after some time, and can connect
	 * again at once.
	 * @param number the number of the host
	 * @param duration the time without reports
	 */
	void cutReports(int number, Duration duration) {
		cutReports(host(number), duration);
	}

	private void cutReports(SimulatedHost host, Duration duration) {
		host.connectedMillis = now();
		host.silentUntilMillis = now() + duration.toMillis();
	}

	void crash(int number) {
		SimulatedHost host = host(number);
		if (host.isUp()) {
			host.crash();
		}
	}

	/**
	 * Ends the other members of a gang, which cannot go on without a member that is lost.
	 * @param lost the member
	 */
	private void breakGang(TaskKey lost) {
		StepSpecification step = this.fixture.submissions.get(lost.job()).specification().steps().get(lost.step());
		if (!step.gang()) {
			return;
		}
		for (SimulatedHost host : this.hosts.values()) {
			if (host.isUp()) {
				List.copyOf(host.worker.running.keySet())
					.stream()
					.filter((task) -> task.job().equals(lost.job()) && !task.equals(lost))
					.forEach((task) -> host.worker.end(task, "broken"));
			}
		}
	}

	private SimulatedHost host(int number) {
		return this.hosts.get("host-" + number % this.hosts.size());
	}

	private long now() {
		return this.fixture.time.millis();
	}

	JobState state(String id) {
		return JobSummary.read(this.fixture.storedJobs.get(id)).state();
	}

	int crashes() {
		return this.crashes;
	}

	int starts(TaskKey task) {
		return this.startsByTask.getOrDefault(task, 0);
	}

	/**
	 * Returns the highest number of starts of a deadly task after three workers had
	 * crashed under it.
	 * @return the number of starts
	 */
	int mostStartsAfterThirdCrash() {
		return this.startsAfterThirdCrash.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	/**
	 * A host with its agent and worker.
	 */
	private final class SimulatedHost {

		private final SimulatedWorker worker;

		private final Map<TaskKey, Long> endMillis = new HashMap<>();

		private final Map<TaskKey, Long> crashMillis = new HashMap<>();

		private Optional<HostReport> lastLists = Optional.empty();

		private long backMillis;

		private long listsMillis;

		private long reachableMillis;

		private long connectedMillis;

		private long silentUntilMillis;

		private boolean newConnection;

		private int agentIncarnation;

		private int lives;

		private SimulatedHost(SimulatedWorker worker) {
			this.worker = worker;
		}

		private boolean isUp() {
			return this.backMillis == 0;
		}

		private void advance() {
			if (!isUp() && now() >= this.backMillis) {
				this.backMillis = 0;
				this.worker.ignoresOrders = false;
				this.worker.restart();
				this.lives++;
				if (CrashLoopSimulation.this.newIdentity) {
					this.worker.description = this.worker.description.toBuilder()
						.setId("worker-" + this.worker.host + "-" + this.lives)
						.build();
				}
			}
			if (isUp()) {
				crashIfDue();
			}
			if (isUp()) {
				endRuns();
				this.worker.running
					.replaceAll((task, run) -> run.toBuilder().setProgress((run.getProgress() + 1) % 100).build());
			}
			if (now() < this.reachableMillis) {
				CrashLoopSimulation.this.fixture.reports.connected(this.worker.host, false);
				this.newConnection = true;
				return;
			}
			if (now() < this.silentUntilMillis) {
				reconnectIfUnresponsive();
				return;
			}
			if (this.newConnection) {
				CrashLoopSimulation.this.fixture.reports.connected(this.worker.host, true);
			}
			CrashLoopSimulation.this.fixture.reports.reported(report(), true).stops().forEach((stop) -> {
				if (isUp()) {
					this.worker.stop(stop);
				}
			});
			// From the answer to its first report on a connection, the agent knows which
			// orders were sent.
			this.newConnection = false;
		}

		private void reconnectIfUnresponsive() {
			if (now() - this.connectedMillis > REPORT_TIMEOUT.toMillis()) {
				this.connectedMillis = now();
				this.newConnection = true;
				CrashLoopSimulation.this.fixture.reports.connected(this.worker.host, false);
				CrashLoopSimulation.this.fixture.reports.connected(this.worker.host, true);
			}
		}

		private HostReport report() {
			if (isUp() || this.lastLists.isEmpty()) {
				this.lastLists = Optional.of(this.worker.report());
				this.listsMillis = now();
			}
			return this.lastLists.get()
				.toBuilder()
				.setLife("agent-" + this.worker.host + "-" + this.agentIncarnation)
				.setHandledOrder(this.newConnection ? 0 : this.worker.handledOrder)
				.setWorkerAnswers(isUp())
				.setListsAgeMillis(now() - this.listsMillis)
				.build();
		}

		/**
		 * Returns the report of an agent that knows the lists from before the crash, and
		 * holds the starts since then as pending.
		 * @return the report
		 */
		private HostReport reportOfPendingStarts() {
			HostReport current = this.worker.report();
			HostReport.Builder report = current.toBuilder().clearRunning();
			List<RunningTask> listed = this.lastLists.map(HostReport::getRunningList).orElse(List.of());
			for (RunningTask run : current.getRunningList()) {
				boolean known = listed.stream()
					.anyMatch((other) -> other.getTask().equals(run.getTask()) && other.getRun() == run.getRun());
				if (known) {
					report.addRunning(run);
				}
				else {
					report.addPending(run);
				}
			}
			return report.build();
		}

		private void endRuns() {
			for (TaskKey task : List.copyOf(this.worker.running.keySet())) {
				long end = this.endMillis.computeIfAbsent(task,
						(key) -> now() + 300 + CrashLoopSimulation.this.random.nextInt(2_500));
				boolean lasting = CrashLoopSimulation.this.fixture.dispatcher.job(task.job())
					.map((job) -> job.task(task).step().lasting())
					.orElse(false);
				if (now() >= end && !lasting && !this.crashMillis.containsKey(task)) {
					this.endMillis.remove(task);
					this.worker.end(task, "done");
				}
			}
		}

		/**
		 * Starts the runs that the leader has ordered in this step; the first deadly one
		 * crashes the worker.
		 */
		private void startRuns() {
			List<StartOrder> started = new ArrayList<>(this.worker.executedOrders);
			this.worker.executedOrders.clear();
			for (StartOrder order : started) {
				TaskKey task = TaskNames.key(order.getTask());
				CrashLoopSimulation.this.startsByTask.merge(task, 1, Integer::sum);
				if (!isUp() || !CrashLoopSimulation.this.deadly.contains(task)) {
					continue;
				}
				if (CrashLoopSimulation.this.crashesByTask.getOrDefault(task, 0) >= 3) {
					CrashLoopSimulation.this.startsAfterThirdCrash.merge(task, 1, Integer::sum);
				}
				this.crashMillis.put(task, now() + CrashLoopSimulation.this.crashDelay.toMillis());
			}
			crashIfDue();
		}

		private void crashIfDue() {
			this.crashMillis.keySet().retainAll(this.worker.running.keySet());
			for (Map.Entry<TaskKey, Long> entry : List.copyOf(this.crashMillis.entrySet())) {
				if (isUp() && now() >= entry.getValue()) {
					CrashLoopSimulation.this.crashesByTask.merge(entry.getKey(), 1, Integer::sum);
					crash();
				}
			}
		}

		private void crash() {
			CrashLoopSimulation.this.crashes++;
			this.lastLists = Optional.of(reportOfPendingStarts());
			this.backMillis = now() + CrashLoopSimulation.this.downTime.toMillis();
			List.copyOf(this.worker.running.keySet()).forEach(CrashLoopSimulation.this::breakGang);
			this.endMillis.clear();
			this.crashMillis.clear();
			this.worker.ignoresOrders = true;
		}

	}

}
