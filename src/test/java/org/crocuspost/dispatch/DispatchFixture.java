package org.crocuspost.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.StoredProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.StopOrder;
import org.crocuspost.wire.WorkerDescription;

/**
 * Runs a dispatcher and its report processor on virtual time, with simulated workers that
 * execute orders immediately.
 */
final class DispatchFixture {

	static final String SERVICE = "service";

	static final String QUEUE = "queue";

	static final DispatchSettings SETTINGS = new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(3), 1.5);

	final VirtualTime time = new VirtualTime(Instant.parse("2026-12-01T00:00:00Z"));

	final ImagePressure imagePressure = new ImagePressure();

	final Map<String, String> storedJobs = new LinkedHashMap<>();

	final Map<String, Map<TaskKey, String>> storedTasks = new LinkedHashMap<>();

	final Map<String, JobSubmission> submissions = new LinkedHashMap<>();

	final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

	final List<JobStart> jobStarts = new ArrayList<>();

	final List<LostRun> lostRuns = new ArrayList<>();

	final List<String> refusedStarts = new ArrayList<>();

	final List<RegainedTask> regainedTasks = new ArrayList<>();

	final List<WorkerCrash> crashes = new ArrayList<>();

	final List<String> hostAssessments = new ArrayList<>();

	final List<String> selectionChanges = new ArrayList<>();

	Dispatcher dispatcher = newDispatcher();

	ReportProcessor reports = new ReportProcessor(this.dispatcher, this.imagePressure);

	Dispatcher newDispatcher() {
		Dispatcher created = newUnconfiguredDispatcher();
		configure(created);
		return created;
	}

	private Dispatcher newUnconfiguredDispatcher() {
		return new Dispatcher(SETTINGS, new DefaultPlacementPolicy(this.imagePressure), this.time,
				new RecordingListener());
	}

	void configure(Dispatcher created) {
		created.configure(new QueueConfiguration(1,
				List.of(new Queue(QUEUE, "host", "/queue/", SERVICE, 0, 2, 2, Duration.ofSeconds(1), false)), List.of(),
				1_000));
	}

	SimulatedWorker worker(String host, int milliCores) {
		SimulatedWorker worker = new SimulatedWorker(host, milliCores);
		this.workers.put(host, worker);
		report(worker);
		return worker;
	}

	SimulatedWorker worker(String host, int milliCores, String failureDomain) {
		SimulatedWorker worker = new SimulatedWorker(host, milliCores);
		worker.description = worker.description.toBuilder().setFailureDomain(failureDomain).build();
		this.workers.put(host, worker);
		report(worker);
		return worker;
	}

	void submit(String id, StepSpecification... steps) {
		submitAccepted(id, this.time.millis(), steps);
	}

	void submitAccepted(String id, long acceptedMillis, StepSpecification... steps) {
		JobSubmission submission = new JobSubmission(id, QUEUE, acceptedMillis,
				new JobSpecification("text", List.of(steps), 1, false, 0, 0));
		this.submissions.put(id, submission);
		this.dispatcher.submitted(submission, Optional.empty());
	}

	/**
	 * Assigns waiting tasks, records the decisions and sends the start orders.
	 */
	void runSchedulingRound() {
		this.dispatcher.schedule();
		while (this.dispatcher.hasChanges()) {
			DispatchBatch batch = this.dispatcher.takeBatch(100, Integer.MAX_VALUE);
			store(batch);
			this.dispatcher.recorded(batch, true).forEach((host, orders) -> this.workers.get(host).execute(orders));
		}
	}

	/**
	 * Stores the rows of a batch, as the leader does before the batch takes effect.
	 */
	void store(DispatchBatch batch) {
		this.storedJobs.putAll(batch.jobs());
		batch.tasks()
			.forEach((task, row) -> this.storedTasks.computeIfAbsent(task.job(), (job) -> new LinkedHashMap<>())
				.put(task, row));
		batch.cleanup().tasks().forEach((task) -> this.storedTasks.get(task.job()).remove(task));
		batch.cleanup().expired().forEach(this.storedJobs::remove);
	}

	void reportAll() {
		this.workers.values().forEach(this::report);
	}

	ReportProcessor.Response report(SimulatedWorker worker) {
		ReportProcessor.Response response = this.reports.reported(worker.report(), true);
		response.stops().forEach(worker::stop);
		return response;
	}

	/**
	 * Replaces the leader by a new one that starts from the stored progress only.
	 */
	void takeOver() {
		takeOver(newDispatcher());
	}

	/**
	 * Replaces the leader by a new one that has not read the configuration yet.
	 */
	void takeOverWithoutConfiguration() {
		takeOver(newUnconfiguredDispatcher());
	}

	private void takeOver(Dispatcher next) {
		this.dispatcher = next;
		this.reports = new ReportProcessor(this.dispatcher, this.imagePressure);
		this.workers.values().forEach((worker) -> worker.handledOrder = 0);
		restoreJobs();
	}

	/**
	 * Submits all jobs again with their stored progress, as a new leader reads them.
	 */
	void restoreJobs() {
		this.submissions.forEach((id, submission) -> this.dispatcher.submitted(submission, StoredProgress
			.of(Optional.ofNullable(this.storedJobs.get(id)), this.storedTasks.getOrDefault(id, Map.of()))));
	}

	JobProgress job(String id) {
		return this.dispatcher.job(id).orElseThrow();
	}

	TaskProgress task(String id, int step, int index) {
		return job(id).tasks(0, step).get(index);
	}

	static StepSpecification step(int tasks, int milliCores) {
		return new StepBuilder().tasks(tasks).milliCores(milliCores).build();
	}

	/**
	 * A run that the leader declared lost.
	 *
	 * @param reason why it was declared lost
	 * @param evidence the information on which the decision is based
	 */
	record LostRun(String reason, Evidence evidence) {
	}

	/**
	 * Builds steps for tests.
	 */
	static final class StepBuilder {

		private int tasks = 1;

		private int milliCores = 1_000;

		private List<Integer> predecessors = List.of();

		private boolean gang;

		private String label = "";

		private int perWorker;

		private boolean longRunning;

		private String image = "";

		private Duration tailTarget = Duration.ZERO;

		private boolean filler;

		private boolean checkpointing = true;

		private boolean resumable;

		private int unavailableLimit = -1;

		StepBuilder tasks(int count) {
			this.tasks = count;
			return this;
		}

		StepBuilder milliCores(int value) {
			this.milliCores = value;
			return this;
		}

		StepBuilder after(Integer... steps) {
			this.predecessors = List.of(steps);
			return this;
		}

		StepBuilder gang() {
			this.gang = true;
			return this;
		}

		StepBuilder label(String value) {
			this.label = value;
			return this;
		}

		StepBuilder perWorker(int value) {
			this.perWorker = value;
			return this;
		}

		StepBuilder image(String imageName) {
			this.image = imageName;
			return this;
		}

		StepBuilder service() {
			this.longRunning = true;
			this.tailTarget = Duration.ofMillis(100);
			return this;
		}

		StepBuilder unavailableLimit(int value) {
			this.unavailableLimit = value;
			return this;
		}

		StepBuilder checkpointing() {
			this.resumable = true;
			return this;
		}

		StepBuilder withoutCheckpoints() {
			this.checkpointing = false;
			return this;
		}

		StepBuilder filler(String imageName) {
			this.filler = true;
			this.image = imageName;
			return this;
		}

		StepSpecification build() {
			return new StepSpecification(this.tasks, this.milliCores, 100, 0, Duration.ofSeconds(1), this.predecessors,
					this.resumable || (this.filler && this.checkpointing), this.gang, false, this.label, "",
					this.perWorker, false, this.longRunning, this.image, this.tailTarget, this.filler,
					this.unavailableLimit);
		}

	}

	/**
	 * Worker and agent that execute orders immediately and keep a list of the executed
	 * orders.
	 */
	final class SimulatedWorker {

		final Map<TaskKey, RunningTask> running = new LinkedHashMap<>();

		final List<EndedTask> ended = new ArrayList<>();

		final List<StartOrder> executedOrders = new ArrayList<>();

		WorkerDescription description;

		boolean ignoresOrders;

		boolean ignoresStops;

		final List<StopOrder> receivedStops = new ArrayList<>();

		long handledOrder;

		private final long createdMillis = DispatchFixture.this.time.millis();

		private long endCount;

		SimulatedWorker(String host, int milliCores) {
			this.description = WorkerDescription.newBuilder()
				.setId("worker-" + host)
				.setBorn(1)
				.setService(SERVICE)
				.setFailureDomain("domain-" + host)
				.setMilliCores(milliCores)
				.setMemoryMegabytes(64_000)
				.addLabels("kind")
				.build();
			this.host = host;
		}

		final String host;

		void execute(List<StartOrder> orders) {
			if (this.ignoresOrders) {
				return;
			}
			this.handledOrder += orders.size();
			for (StartOrder order : orders) {
				this.executedOrders.add(order);
				this.running.put(TaskNames.key(order.getTask()),
						RunningTask.newBuilder().setTask(order.getTask()).setRun(order.getRun()).setPace(100).build());
			}
		}

		void stop(StopOrder order) {
			this.receivedStops.add(order);
			if (this.ignoresStops) {
				return;
			}
			RunningTask run = this.running.get(TaskNames.key(order.getTask()));
			if (run != null && run.getRun() == order.getRun()) {
				end(TaskNames.key(order.getTask()), "stopped");
			}
		}

		void end(TaskKey key, String kind) {
			RunningTask run = this.running.remove(key);
			this.ended.add(EndedTask.newBuilder()
				.setNumber(++this.endCount)
				.setTask(run.getTask())
				.setRun(run.getRun())
				.setKind(kind)
				.build());
		}

		void progress(TaskKey key, int percent) {
			this.running.computeIfPresent(key, (name, run) -> run.toBuilder().setProgress(percent).build());
		}

		void pace(TaskKey key, int percent) {
			this.running.computeIfPresent(key, (name, run) -> run.toBuilder().setPace(percent).build());
		}

		void endAll(String kind) {
			List.copyOf(this.running.keySet()).forEach((key) -> end(key, kind));
		}

		void restart() {
			this.running.clear();
			this.ended.clear();
			this.endCount = 0;
			this.description = this.description.toBuilder().setBorn(this.description.getBorn() + 1).build();
		}

		private long workerClockMillis() {
			return 1_000 + DispatchFixture.this.time.millis() - this.createdMillis;
		}

		/**
		 * Returns a report of an agent that has read the worker's lists some time ago.
		 * @param listsAge the age of the lists
		 * @return the report
		 */
		HostReport reportWithLists(Duration listsAge) {
			return report().toBuilder()
				.setListsAgeMillis(listsAge.toMillis())
				.setLeaseStamp(Math.max(1, workerClockMillis() - listsAge.toMillis()))
				.build();
		}

		/**
		 * Returns a report of an agent whose worker does not answer any more.
		 * @param silence the time since the worker answered
		 * @return the report
		 */
		HostReport reportOfSilence(Duration silence) {
			return reportWithLists(silence).toBuilder()
				.setWorkerAnswers(false)
				.setLeaseBasisAgeMillis(silence.toMillis())
				.build();
		}

		/**
		 * Returns a report of an agent that was restarted and has not heard from the
		 * worker since.
		 * @param age the time since the agent was started
		 * @return the report
		 */
		HostReport reportOfRestartedAgent(Duration age) {
			return HostReport.newBuilder()
				.setHost(this.host)
				.setLife("next")
				.setLeaseBasisAgeMillis(age.toMillis())
				.build();
		}

		HostReport report() {
			return HostReport.newBuilder()
				.setHost(this.host)
				.setLife("life")
				.setLeaseStamp(workerClockMillis())
				.setWorker(this.description)
				.setWorkerAnswers(true)
				.setHandledOrder(this.handledOrder)
				.addAllRunning(this.running.values())
				.addAllEnded(this.ended)
				.build();
		}

	}

	private final class RecordingListener extends SilentDispatchListener {

		@Override
		public void jobStarted(JobProgress job, JobStart start) {
			DispatchFixture.this.jobStarts.add(start);
		}

		@Override
		public void runLost(TaskProgress task, int run, String host, String reason, Evidence evidence,
				Duration observedRunTime) {
			DispatchFixture.this.lostRuns.add(new LostRun(reason, evidence));
		}

		@Override
		public void startRefused(TaskProgress task, int run, String host, String reason) {
			DispatchFixture.this.refusedStarts.add(reason);
		}

		@Override
		public void taskRegained(TaskProgress task, RegainedTask regained) {
			DispatchFixture.this.regainedTasks.add(regained);
		}

		@Override
		public void workerCrashed(String host, WorkerCrash crash) {
			DispatchFixture.this.crashes.add(crash);
		}

		@Override
		public void selectionChanged(JobProgress job, boolean deferred, SelectionEvidence evidence) {
			DispatchFixture.this.selectionChanges.add((deferred ? "deferred " : "resumed ") + job.id());
		}

		@Override
		public void hostChanged(String host, String assessment, String detail) {
			DispatchFixture.this.hostAssessments.add(assessment);
		}

	}

}
