package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.host.OrderOutcome;
import org.crocuspost.host.WorkerAnnouncement;
import org.crocuspost.host.WorkerState;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.RunningTask;

/**
 * One incarnation of a worker on virtual time, as the platform describes it: leases on
 * its own clock, fencing tokens, numbered ends, checkpoints and paces.
 */
final class SimulatedWorker {

	static final int MILLI_CORES = 32_000;

	static final int MEMORY_MEGABYTES = 125_000;

	private static final Duration MAXIMUM_LEASE = Duration.ofSeconds(6);

	private static final Duration LATENCY = Duration.ofMillis(1);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

	private static final Duration STOP_DURATION = Duration.ofMillis(150);

	private static final double CHECKPOINT_SECONDS = 2;

	private static final double SHARE_OF_RUNS_THAT_FAIL = 0.01;

	/**
	 * Ways in which a worker is faulty.
	 */
	enum Fault {

		REFUSES_STARTS, STARTS_LATE, STARTS_HANG, STOPS_HANG, REFUSES_ALL, SILENT, SLOW

	}

	private final VirtualTime time;

	private final SplittableRandom random;

	private final Observer observer;

	private final String id;

	private final String host;

	private final long born;

	private final long bornNanos;

	private final double clockRate;

	private final Set<Fault> faults;

	private final Map<TaskKey, Run> running = new LinkedHashMap<>();

	private final TreeMap<Long, EndedTask> ended = new TreeMap<>();

	private final Map<TaskKey, Integer> highestEnded = new HashMap<>();

	private final List<Runnable> waitingHolds = new ArrayList<>();

	private boolean up = true;

	private boolean draining;

	private long fence;

	private long ends;

	/**
	 * Number of the last end before the lease lapsed. The leader may have declared these
	 * runs lost, so their ends do not count as noted.
	 */
	private long lapsedEnds;

	private long leaseUntilMillis;

	private long sequence;

	private long updatedNanos;

	SimulatedWorker(VirtualTime time, SplittableRandom random, Observer observer, String id, String host,
			double clockRate, Set<Fault> faults) {
		this.time = time;
		this.random = random;
		this.observer = observer;
		this.id = id;
		this.host = host;
		this.born = time.millis();
		this.bornNanos = time.nanoTime();
		this.updatedNanos = this.bornNanos;
		this.clockRate = clockRate;
		this.faults = faults;
	}

	boolean up() {
		return this.up;
	}

	boolean draining() {
		return this.draining;
	}

	void drain() {
		this.draining = true;
	}

	String id() {
		return this.id;
	}

	String host() {
		return this.host;
	}

	Map<TaskKey, Run> running() {
		return this.running;
	}

	WorkerAnnouncement announce(String zone) {
		return new WorkerAnnouncement(this.id, this.born, "lunchwallet", zone, this.draining, 0, 0, MILLI_CORES,
				MEMORY_MEGABYTES, 0, List.of("a"), ++this.sequence);
	}

	private long clockMillis() {
		return 1_000 + (long) ((this.time.nanoTime() - this.bornNanos) * this.clockRate / 1e6);
	}

	/**
	 * Ends the process without notice.
	 */
	void end() {
		this.up = false;
		this.running.values().forEach((run) -> run.active = false);
		this.running.clear();
	}

	/**
	 * Lets the runs work up to now.
	 * @param weights how much each image of a filler presses on services
	 */
	void update(Map<String, Double> weights) {
		if (!this.up) {
			return;
		}
		double elapsed = (this.time.nanoTime() - this.updatedNanos) / 1e9;
		this.updatedNanos = this.time.nanoTime();
		expire();
		double free = MILLI_CORES;
		double wanted = 0;
		double pressure = 0;
		for (Run run : this.running.values()) {
			double cores = run.step.milliCores() * run.pace / 100.0;
			free -= run.step.filler() ? 0 : cores * (run.step.lasting() ? 0.6 : 1);
			wanted += run.step.filler() ? cores : 0;
			pressure += run.step.filler() ? weights.getOrDefault(run.step.image(), 0.0) * cores / MILLI_CORES : 0;
		}
		double fillerSpeed = (wanted > 0) ? Math.max(0.05, Math.min(1, free / wanted)) : 1;
		for (Run run : List.copyOf(this.running.values())) {
			double speed = (run.step.filler() ? fillerSpeed : 1) * run.pace / 100.0
					* (this.faults.contains(Fault.SLOW) ? 0.15 : 1);
			run.done += elapsed * speed;
			run.load = run.step.lasting() ? (int) (run.step.tailTarget().toMillis() * (0.15 + pressure))
					: (int) (run.step.milliCores() * speed);
			if (!run.step.lasting() && run.done >= run.work) {
				endRun(run, run.fails ? "failed" : "done");
			}
			else if (run.fails && run.done >= run.work) {
				endRun(run, "failed");
			}
		}
	}

	private void expire() {
		if (clockMillis() >= this.leaseUntilMillis) {
			this.lapsedEnds = this.ends;
			List.copyOf(this.running.values()).forEach((run) -> endRun(run, "lapsed"));
		}
	}

	private void endRun(Run run, String kind) {
		if (this.running.remove(run.task) == null) {
			return;
		}
		run.active = false;
		this.highestEnded.merge(run.task, run.number, Math::max);
		this.ended.put(++this.ends,
				EndedTask.newBuilder()
					.setNumber(this.ends)
					.setTask(TaskNames.name(run.task))
					.setRun(run.number)
					.setKind(kind)
					.setCheckpoint(run.checkpoint())
					.build());
		List<Runnable> holds = List.copyOf(this.waitingHolds);
		this.waitingHolds.clear();
		holds.forEach(Runnable::run);
	}

	private void extend(long untilMillis) {
		expire();
		this.leaseUntilMillis = Math.max(this.leaseUntilMillis,
				Math.min(untilMillis, clockMillis() + MAXIMUM_LEASE.toMillis()));
	}

	private boolean fenced(long token) {
		if (token < this.fence) {
			return true;
		}
		this.fence = token;
		return false;
	}

	private static OrderOutcome outcome(OrderOutcome.Kind kind, String reason) {
		return new OrderOutcome(kind, reason);
	}

	private static final OrderOutcome UNKNOWN = outcome(OrderOutcome.Kind.UNKNOWN, "no answer in time");

	void hold(SimulatedProcess agent, long token, long acknowledged, long untilMillis, Duration maximumWait,
			Consumer<Either<OrderOutcome, WorkerState>> answer) {
		if (this.faults.contains(Fault.SILENT)) {
			agent.schedule(CALL_TIMEOUT.plus(maximumWait), () -> answer.accept(Either.left(UNKNOWN)));
			return;
		}
		if (this.faults.contains(Fault.REFUSES_ALL)) {
			answerLater(agent, Either.left(outcome(OrderOutcome.Kind.REFUSED, "status 503")), answer);
			return;
		}
		if (fenced(token)) {
			answerLater(agent, Either.left(outcome(OrderOutcome.Kind.FENCED, "fence")), answer);
			return;
		}
		extend(untilMillis);
		this.ended.headMap(acknowledged, true)
			.values()
			.stream()
			.filter((end) -> end.getNumber() > this.lapsedEnds)
			.forEach((end) -> this.observer.endNoted(TaskNames.key(end.getTask()), end.getKind()));
		this.ended.headMap(acknowledged, true).clear();
		boolean[] answered = { false };
		Runnable reply = () -> {
			if (!answered[0]) {
				answered[0] = true;
				if (this.up) {
					answerLater(agent, Either.right(state()), answer);
				}
				else {
					answerLater(agent, Either.left(UNKNOWN), answer);
				}
			}
		};
		if (!this.ended.isEmpty() || maximumWait.isZero()) {
			reply.run();
			return;
		}
		this.waitingHolds.add(reply);
		this.time.schedule(maximumWait, reply);
	}

	private static <T> void answerLater(SimulatedProcess agent, T result, Consumer<T> answer) {
		agent.schedule(LATENCY, () -> answer.accept(result));
	}

	private WorkerState state() {
		expire();
		return new WorkerState(clockMillis(), this.born, this.running.values().stream().map(Run::describe).toList(),
				List.copyOf(this.ended.values()));
	}

	/**
	 * Handles the order to start a run.
	 * @param agent the process that sends it
	 * @param token the fencing token
	 * @param order the run
	 * @param untilMillis the end of the lease
	 * @param answer receives the outcome
	 */
	void start(SimulatedProcess agent, long token, Order order, long untilMillis, Consumer<OrderOutcome> answer) {
		if (this.faults.contains(Fault.SILENT) || this.faults.contains(Fault.STARTS_HANG)) {
			agent.schedule(CALL_TIMEOUT, () -> answer.accept(UNKNOWN));
		}
		else if (this.faults.contains(Fault.REFUSES_ALL) || this.faults.contains(Fault.REFUSES_STARTS)) {
			answerLater(agent, outcome(OrderOutcome.Kind.REFUSED, "status 503"), answer);
		}
		else if (this.faults.contains(Fault.STARTS_LATE)) {
			agent.schedule(CALL_TIMEOUT, () -> answer.accept(UNKNOWN));
			this.time.schedule(Duration.ofMillis(800 + this.random.nextInt(5_000)),
					() -> startNow(token, order, untilMillis));
		}
		else {
			answerLater(agent, startNow(token, order, untilMillis), answer);
		}
	}

	private OrderOutcome startNow(long token, Order order, long untilMillis) {
		if (!this.up || fenced(token)) {
			return outcome(OrderOutcome.Kind.FENCED, "fence");
		}
		extend(untilMillis);
		Run present = this.running.get(order.task);
		if (present != null && present.number == order.number) {
			return outcome(OrderOutcome.Kind.OBEYED, "");
		}
		if (present != null || order.number <= this.highestEnded.getOrDefault(order.task, 0)) {
			return outcome(OrderOutcome.Kind.REFUSED, "old");
		}
		if (this.leaseUntilMillis <= clockMillis()) {
			return outcome(OrderOutcome.Kind.REFUSED, "late");
		}
		boolean fails = this.random.nextDouble() < SHARE_OF_RUNS_THAT_FAIL;
		Run run = new Run(order, fails && !order.step.lasting());
		this.running.put(order.task, run);
		this.observer.started(this, run);
		return outcome(OrderOutcome.Kind.OBEYED, "");
	}

	void stop(SimulatedProcess agent, long token, TaskKey task, int number, Consumer<OrderOutcome> answer) {
		if (this.faults.contains(Fault.SILENT) || this.faults.contains(Fault.STOPS_HANG)) {
			agent.schedule(CALL_TIMEOUT, () -> answer.accept(UNKNOWN));
		}
		else if (this.faults.contains(Fault.REFUSES_ALL)) {
			answerLater(agent, outcome(OrderOutcome.Kind.REFUSED, "status 503"), answer);
		}
		else if (fenced(token)) {
			answerLater(agent, outcome(OrderOutcome.Kind.FENCED, "fence"), answer);
		}
		else {
			Run run = this.running.get(task);
			if (run != null && run.number == number) {
				this.time.schedule(STOP_DURATION, () -> {
					if (this.running.get(task) == run) {
						endRun(run, "stopped");
					}
				});
			}
			else if (run == null || run.number > number) {
				this.highestEnded.merge(task, number, Math::max);
			}
			answerLater(agent, outcome(OrderOutcome.Kind.OBEYED, ""), answer);
		}
	}

	void pace(SimulatedProcess agent, TaskKey task, int number, int percent, Consumer<OrderOutcome> answer) {
		Run run = this.running.get(task);
		if (run == null || run.number != number || this.faults.contains(Fault.SILENT)) {
			agent.schedule(CALL_TIMEOUT, () -> answer.accept(UNKNOWN));
			return;
		}
		run.pace = percent;
		answerLater(agent, outcome(OrderOutcome.Kind.OBEYED, ""), answer);
	}

	/**
	 * Receives what happens on the workers.
	 */
	interface Observer {

		void started(SimulatedWorker worker, Run run);

		void endNoted(TaskKey task, String kind);

	}

	/**
	 * The run that is to start.
	 *
	 * @param task the task
	 * @param number the number of the run
	 * @param checkpoint the checkpoint from which it resumes; empty if there is none
	 * @param step the step of the task
	 * @param workSeconds the work of the task
	 */
	record Order(TaskKey task, int number, String checkpoint, StepSpecification step, double workSeconds) {
	}

	/**
	 * A run on a worker.
	 */
	static final class Run {

		private final TaskKey task;

		private final int number;

		private final StepSpecification step;

		private final double work;

		private final boolean fails;

		private double done;

		private int pace = 100;

		private int load;

		private boolean active = true;

		private Run(Order order, boolean fails) {
			this.task = order.task;
			this.number = order.number;
			this.step = order.step;
			this.work = order.workSeconds;
			this.fails = fails;
			this.done = order.checkpoint.isEmpty() ? 0 : Double.parseDouble(order.checkpoint);
		}

		TaskKey task() {
			return this.task;
		}

		int number() {
			return this.number;
		}

		StepSpecification step() {
			return this.step;
		}

		boolean active() {
			return this.active;
		}

		private String checkpoint() {
			double saved = Math.floor(Math.min(this.done, this.work) / CHECKPOINT_SECONDS) * CHECKPOINT_SECONDS;
			return (this.step.checkpointing() && saved > 0) ? String.valueOf(saved) : "";
		}

		private RunningTask describe() {
			int percent = this.step.lasting() ? 100 : (int) Math.min(99, 100 * this.done / this.work);
			return RunningTask.newBuilder()
				.setTask(TaskNames.name(this.task))
				.setRun(this.number)
				.setCheckpoint(checkpoint())
				.setProgress(percent)
				.setLoad(this.load)
				.setPace(100)
				.build();
		}

	}

}
