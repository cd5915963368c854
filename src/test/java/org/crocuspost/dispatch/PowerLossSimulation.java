package org.crocuspost.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.crocuspost.ingress.AdmissionControl;
import org.crocuspost.ingress.JobDirectory;
import org.crocuspost.ingress.LedgerView;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.StoredProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.lead.Tables;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.WorkerDescription;

/**
 * Plays services, short jobs and fillers on 80 hosts until all of them and the leader
 * lose power at once, and after a new leader has restored its state. Compares the counts
 * of pending jobs with what the workers have started. Runs on virtual time.
 *
 * <p>
 * Load pattern: short jobs of 8 tasks arrive 8 times a second, fillers of 27 tasks 2.4
 * times a second. Services reserve four fifths of the capacity, and fillers of unknown
 * images start mostly on workers without services, so that some of them wait.
 *
 * <p>
 * Both entries know all accepted jobs and follow the recorded rows without interruption.
 * So a wrong count can't come from jobs that another entry accepted, nor from an old view
 * of the ledger.
 */
final class PowerLossSimulation {

	private static final int HOSTS = 80;

	private static final int SERVICES = 16;

	private static final double SHORT_JOBS_PER_SECOND = 8;

	private static final double FILLER_JOBS_PER_SECOND = 2.4;

	private static final int IMAGES = 30;

	/**
	 * Limits of a transaction in {@code LeadershipTimings}.
	 */
	private static final int ROWS_PER_TRANSACTION = 90;

	private static final int CHARACTERS_PER_TRANSACTION = 500_000;

	/**
	 * Delays of the leader in {@code LeadershipTimings}.
	 */
	private static final Duration BATCHING_DELAY = Duration.ofMillis(15);

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

	private static final Duration CHANGE_REPORT_DELAY = Duration.ofMillis(40);

	private static final Duration SUBMISSION_DELAY = Duration.ofMillis(30);

	private static final Duration ORDER_DELAY = Duration.ofMillis(5);

	private static final Duration VIEW_DELAY = Duration.ofMillis(200);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/**
	 * Time after the loss of power at which entries accept jobs again, as in the record
	 * of the incident.
	 */
	private static final Duration ENTRY_RESTART = Duration.ofSeconds(3);

	/**
	 * Age from which an accepted job must be counted: the visible time of the platform, 3
	 * s, and the maximum age of a count, 2 s.
	 */
	private static final Duration MINIMUM_AGE = Duration.ofSeconds(5);

	private static final String SHORT_QUEUE = "topup";

	private static final String FILLER_QUEUE = "statement";

	private static final String SERVICE_QUEUE = "lasting";

	private static final List<Queue> QUEUES = List.of(
			new Queue(SHORT_QUEUE, "host", "/topup/", "service", 0, 2, 1.5, Duration.ofMillis(300), false),
			new Queue(FILLER_QUEUE, "host", "/statement/", "service", 2, 3, 2, Duration.ofSeconds(1), false),
			new Queue(SERVICE_QUEUE, "host", "/lasting/", "service", 0, 2, 2.2, Duration.ofMillis(2_500), false));

	private final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	private final long seed;

	private final SplittableRandom random;

	private final Duration transactionDuration;

	private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();

	private final List<JobDirectory> entries = new ArrayList<>();

	private final Map<String, JobSubmission> submissions = new TreeMap<>();

	private final Map<String, String> storedJobs = new LinkedHashMap<>();

	private final Map<String, Map<TaskKey, String>> storedTasks = new LinkedHashMap<>();

	private final Set<String> startedJobs = new HashSet<>();

	private final List<String> faults = new ArrayList<>();

	private Optional<SimulatedLeader> leader = Optional.empty();

	private boolean accepting = true;

	private long trafficStartMillis;

	private int mostWaiting;

	private long storeVersion;

	/**
	 * Creates a simulation and starts the services.
	 * @param seed the seed of the arrivals, sizes and delays
	 * @param transactionDuration the time from a decision of the leader to the
	 * confirmation of the transaction that records it
	 */
	PowerLossSimulation(long seed, Duration transactionDuration) {
		this.seed = seed;
		this.random = new SplittableRandom(seed);
		this.transactionDuration = transactionDuration;
		for (int number = 0; number < HOSTS; number++) {
			SimulatedHost host = new SimulatedHost("host-" + number, (number % 3 == 2) ? 48_000 : 32_000);
			this.hosts.put(host.name, host);
		}
		for (int number = 0; number < 2; number++) {
			this.entries.add(new JobDirectory((row) -> {
			}, new AdmissionControl(this.time), (recordedSubmissions) -> LedgerView.UNREAD));
		}
		this.time.repeat(TICK_INTERVAL, () -> this.leader.ifPresent(SimulatedLeader::tick));
		startLeader();
		for (int number = 0; number < SERVICES; number++) {
			submit(SERVICE_QUEUE, List.of(service()));
		}
		this.time.advance(Duration.ofSeconds(3));
		this.trafficStartMillis = this.time.millis();
		scheduleArrival(SHORT_JOBS_PER_SECOND, this::submitShort);
		scheduleArrival(FILLER_JOBS_PER_SECOND, this::submitFiller);
		this.time.repeat(CHECK_INTERVAL, this::check);
	}

	void play(Duration duration) {
		this.time.advance(duration);
	}

	/**
	 * Ends the leader and all runs. Workers and agents are back when the next leader has
	 * restored its state.
	 */
	void losePower() {
		this.leader = Optional.empty();
		this.hosts.values().forEach(SimulatedHost::losePower);
		this.accepting = false;
		this.time.schedule(ENTRY_RESTART, () -> this.accepting = true);
	}

	/**
	 * Starts a leader that restores its state from the recorded rows.
	 */
	void startLeader() {
		SimulatedLeader next = new SimulatedLeader();
		this.leader = Optional.of(next);
		this.submissions.values()
			.forEach((submission) -> next.dispatcher.submitted(submission,
					StoredProgress.of(Optional.ofNullable(this.storedJobs.get(submission.id())),
							this.storedTasks.getOrDefault(submission.id(), Map.of()))));
		next.scheduleDecision();
	}

	/**
	 * Returns the counts under half of the jobs that were accepted long enough before and
	 * of which no task has started.
	 * @return a line for each count
	 */
	List<String> faults() {
		return this.faults;
	}

	/**
	 * Returns the highest number of jobs of a queue that had to be counted.
	 * @return the number of jobs
	 */
	int mostWaiting() {
		return this.mostWaiting;
	}

	/**
	 * Returns the number of jobs of which a task has started.
	 * @return the number of jobs
	 */
	int started() {
		return this.startedJobs.size();
	}

	private int waiting(String queue) {
		int waiting = 0;
		for (JobSubmission submission : this.submissions.values()) {
			if (submission.queue().equals(queue) && !this.startedJobs.contains(submission.id())
					&& this.time.millis() - submission.acceptedMillis() > MINIMUM_AGE.toMillis()) {
				waiting++;
			}
		}
		return waiting;
	}

	private void check() {
		for (Queue queue : QUEUES) {
			int waiting = waiting(queue.name());
			this.mostWaiting = Math.max(this.mostWaiting, waiting);
			for (int entry = 0; entry < this.entries.size(); entry++) {
				int count = this.entries.get(entry).pending(queue.name()).total();
				if (count * 2 < waiting) {
					this.faults.add(String.format(Locale.ROOT,
							"%.1f s: entry %d counts %d jobs of %s, %d wait that were accepted more than %d s before"
									+ " (seed %d, %d ms a transaction)",
							(this.time.millis() - this.trafficStartMillis) / 1_000.0, entry, count, queue.name(),
							waiting, MINIMUM_AGE.toSeconds(), this.seed, this.transactionDuration.toMillis()));
				}
			}
		}
	}

	private void scheduleArrival(double perSecond, Runnable submission) {
		double seconds = -Math.log(1 - this.random.nextDouble()) / perSecond;
		this.time.schedule(Duration.ofNanos((long) (seconds * 1e9)), () -> {
			submission.run();
			scheduleArrival(perSecond, submission);
		});
	}

	private void submit(String queue, List<StepSpecification> steps) {
		if (!this.accepting) {
			return;
		}
		String id = String.format("%016x", this.random.nextLong());
		JobSubmission submission = new JobSubmission(id, queue, this.time.millis(),
				new JobSpecification("text", steps, 1, false, 0, 0));
		this.submissions.put(id, submission);
		this.entries.forEach((entry) -> entry.addAccepted(id, queue));
		this.time.schedule(SUBMISSION_DELAY, () -> this.leader.ifPresent((current) -> {
			current.dispatcher.submitted(submission, Optional.empty());
			current.scheduleDecision();
		}));
	}

	private double vary(double mean, double spread) {
		return mean * (1 + spread * 2 * (this.random.nextDouble() - 0.5));
	}

	private void submitShort() {
		double milliCores = vary(1_300, 0.45);
		List<StepSpecification> steps = new ArrayList<>();
		int count = 1 + this.random.nextInt(2);
		for (int number = 0; number < count; number++) {
			steps.add(step((int) Math.round(vary(8, 0.5)), milliCores, 2_600, Duration.ofMillis(1_143),
					(number == 0) ? List.of() : List.of(0), ""));
		}
		submit(SHORT_QUEUE, steps);
	}

	private void submitFiller() {
		double milliCores = vary(3_500, 0.3);
		List<StepSpecification> steps = new ArrayList<>();
		for (int number = 0; number < 2; number++) {
			steps.add(step((int) Math.round(vary(27, 0.5)), milliCores, 6_400, Duration.ofMillis(2_429),
					(number == 0) ? List.of() : List.of(0), "image-" + this.random.nextInt(IMAGES)));
		}
		submit(FILLER_QUEUE, steps);
	}

	private static StepSpecification step(int tasks, double milliCores, int memory, Duration estimate,
			List<Integer> predecessors, String fillerImage) {
		return new StepSpecification(tasks, (int) milliCores, memory, 0, estimate, predecessors, false, false, false,
				"", "", 0, false, false, fillerImage, Duration.ZERO, !fillerImage.isEmpty(), -1);
	}

	private StepSpecification service() {
		return new StepSpecification((int) vary(24, 0.4), (int) vary(6_400, 0.25), 13_000, 0, Duration.ZERO, List.of(),
				false, false, false, "", "", this.random.nextBoolean() ? 2 : 0, false, true, "service",
				Duration.ofMillis(150), false, -1);
	}

	/**
	 * A leader with a single transaction at a time.
	 */
	private final class SimulatedLeader {

		private final Dispatcher dispatcher;

		private final ReportProcessor reports;

		private final long takeoverNanos = PowerLossSimulation.this.time.nanoTime();

		private boolean decisionScheduled;

		private boolean recording;

		private SimulatedLeader() {
			ImagePressure imagePressure = new ImagePressure();
			this.dispatcher = new Dispatcher(new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(3), 1.5),
					new DefaultPlacementPolicy(imagePressure), PowerLossSimulation.this.time,
					new SilentDispatchListener());
			this.dispatcher.configure(new QueueConfiguration(1, QUEUES, List.of(), 1_000));
			this.reports = new ReportProcessor(this.dispatcher, imagePressure);
		}

		private boolean lost() {
			return PowerLossSimulation.this.leader.filter((current) -> current == this).isEmpty();
		}

		private void tick() {
			this.reports.expireLeases(Duration.ofSeconds(18), this.takeoverNanos);
			decide();
		}

		private void scheduleDecision() {
			if (!this.decisionScheduled) {
				this.decisionScheduled = true;
				PowerLossSimulation.this.time.schedule(BATCHING_DELAY, () -> {
					this.decisionScheduled = false;
					decide();
				});
			}
		}

		private void decide() {
			if (this.recording || lost()) {
				return;
			}
			this.dispatcher.schedule();
			DispatchBatch batch = this.dispatcher.takeBatch(ROWS_PER_TRANSACTION, CHARACTERS_PER_TRANSACTION);
			if (!batch.isEmpty()) {
				this.recording = true;
				PowerLossSimulation.this.time.schedule(PowerLossSimulation.this.transactionDuration,
						() -> recorded(batch));
			}
		}

		private void recorded(DispatchBatch batch) {
			if (lost()) {
				return;
			}
			this.recording = false;
			store(batch);
			this.dispatcher.recorded(batch, true)
				.forEach((host, orders) -> PowerLossSimulation.this.hosts.get(host).receive(orders));
			if (this.dispatcher.hasChanges()) {
				scheduleDecision();
			}
		}

		private void store(DispatchBatch batch) {
			PowerLossSimulation.this.storedJobs.putAll(batch.jobs());
			batch.tasks()
				.forEach((task, row) -> PowerLossSimulation.this.storedTasks
					.computeIfAbsent(task.job(), (job) -> new LinkedHashMap<>())
					.put(task, row));
			long version = ++PowerLossSimulation.this.storeVersion;
			List<StoredRow> rows = new ArrayList<>();
			batch.jobs().forEach((id, row) -> rows.add(new StoredRow(Tables.PROGRESS_PREFIX + id, version, row)));
			PowerLossSimulation.this.time.schedule(VIEW_DELAY,
					() -> PowerLossSimulation.this.entries.forEach((entry) -> entry.rowsChanged(rows)));
		}

	}

	/**
	 * A host with its agent and worker.
	 */
	private final class SimulatedHost {

		private final String name;

		private final int milliCores;

		private final Map<TaskKey, RunningTask> pending = new LinkedHashMap<>();

		private final Map<TaskKey, RunningTask> running = new LinkedHashMap<>();

		private final List<EndedTask> ended = new ArrayList<>();

		private long incarnation = 1;

		private long ends;

		private long handledOrder;

		private boolean reportScheduled;

		private SimulatedHost(String name, int milliCores) {
			this.name = name;
			this.milliCores = milliCores;
			Duration phase = Duration.ofMillis(PowerLossSimulation.this.random.nextLong(REPORT_INTERVAL.toMillis()));
			PowerLossSimulation.this.time.schedule(phase, () -> {
				report();
				PowerLossSimulation.this.time.repeat(REPORT_INTERVAL, this::report);
			});
		}

		private void losePower() {
			this.incarnation++;
			this.pending.clear();
			this.running.clear();
			this.ended.clear();
			this.ends = 0;
			this.handledOrder = 0;
		}

		private void schedule(Duration delay, Runnable action) {
			long current = this.incarnation;
			PowerLossSimulation.this.time.schedule(delay, () -> {
				if (this.incarnation == current) {
					action.run();
				}
			});
		}

		private void receive(List<StartOrder> orders) {
			schedule(ORDER_DELAY, () -> orders.forEach(this::handle));
		}

		private void handle(StartOrder order) {
			this.handledOrder++;
			RunningTask run = RunningTask.newBuilder()
				.setTask(order.getTask())
				.setRun(order.getRun())
				.setPace(100)
				.build();
			this.pending.put(TaskNames.key(order.getTask()), run);
			schedule(Duration.ofMillis(60 + PowerLossSimulation.this.random.nextInt(81)), () -> start(run));
		}

		private void start(RunningTask run) {
			TaskKey task = TaskNames.key(run.getTask());
			this.pending.remove(task);
			this.running.put(task, run);
			PowerLossSimulation.this.startedJobs.add(task.job());
			StepSpecification step = PowerLossSimulation.this.submissions.get(task.job())
				.specification()
				.steps()
				.get(task.step());
			if (!step.lasting()) {
				double factor = 0.85 + 0.3 * PowerLossSimulation.this.random.nextDouble();
				schedule(Duration.ofMillis((long) (step.estimate().toMillis() * factor)), () -> end(run));
			}
			reportChange();
		}

		private void end(RunningTask run) {
			this.running.remove(TaskNames.key(run.getTask()));
			this.ended.add(EndedTask.newBuilder()
				.setNumber(++this.ends)
				.setTask(run.getTask())
				.setRun(run.getRun())
				.setKind("done")
				.build());
			reportChange();
		}

		private void reportChange() {
			if (!this.reportScheduled) {
				this.reportScheduled = true;
				PowerLossSimulation.this.time.schedule(CHANGE_REPORT_DELAY, () -> {
					this.reportScheduled = false;
					report();
				});
			}
		}

		private void report() {
			PowerLossSimulation.this.leader.ifPresent((current) -> {
				ReportProcessor.Response response = current.reports.reported(describe(), true);
				this.ended.removeIf((end) -> end.getNumber() <= response.recordedEnds());
				current.scheduleDecision();
			});
		}

		private HostReport describe() {
			return HostReport.newBuilder()
				.setHost(this.name)
				.setLife("agent-" + this.incarnation)
				.setLeaseStamp(1 + PowerLossSimulation.this.time.nanoTime() / 1_000_000)
				.setWorkerAnswers(true)
				.setHandledOrder(this.handledOrder)
				.setWorker(WorkerDescription.newBuilder()
					.setId("worker-" + this.name)
					.setBorn(this.incarnation)
					.setService("service")
					.setFailureDomain("domain")
					.setMilliCores(this.milliCores)
					.setMemoryMegabytes(this.milliCores * 4))
				.addAllRunning(this.running.values())
				.addAllPending(this.pending.values())
				.addAllEnded(this.ended)
				.build();
		}

	}

}
