package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.TaskTraits;

/**
 * Working copy of all jobs and hosts at the leader. It decides; its owner records the
 * decisions in the store and sends the orders. Not safe for use by several threads.
 *
 * <p>
 * A run is ordered only after its assignment is recorded, and an end is acknowledged only
 * after it is recorded. So a leader that takes over finds every run that may exist.
 */
public final class Dispatcher {

	private final DispatchSettings settings;

	private final PlacementPolicy policy;

	private final Clock clock;

	private final DispatchListener listener;

	private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();

	private final Map<String, HostState> hosts = new LinkedHashMap<>();

	private final Set<String> cancelledEarly = new LinkedHashSet<>();

	private final Set<String> changedJobs = new LinkedHashSet<>();

	private final Map<String, DispatchBatch.WorkerEnds> changedEnds = new HashMap<>();

	private final List<DispatchBatch.Start> newStarts = new ArrayList<>();

	private QueueConfiguration configuration = new QueueConfiguration(0, List.of(), List.of(), 0);

	private Set<String> evacuated = Set.of();

	/**
	 * Creates a dispatcher without jobs and hosts.
	 * @param settings the times and thresholds
	 * @param policy chooses workers
	 * @param clock the clock of the process
	 * @param listener learns of decisions
	 */
	public Dispatcher(DispatchSettings settings, PlacementPolicy policy, Clock clock, DispatchListener listener) {
		this.settings = settings;
		this.policy = policy;
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Puts a configuration in force.
	 * @param next the configuration; an older one than the present is ignored
	 */
	public void configure(QueueConfiguration next) {
		if (next.version() > this.configuration.version()) {
			this.configuration = next;
		}
	}

	/**
	 * Says which failure domains are out.
	 * @param domains the failure domains in which nothing may start
	 */
	public void setEvacuatedDomains(Collection<String> domains) {
		this.evacuated = Set.copyOf(domains);
	}

	/**
	 * Learns of an accepted job. A job that is known already is ignored.
	 * @param submission the job
	 * @param stored the stored progress; empty if nothing was recorded yet
	 */
	public void submitted(JobSubmission submission, Optional<String> stored) {
		if (this.jobs.containsKey(submission.id())) {
			return;
		}
		JobProgress job = new JobProgress(submission);
		stored.ifPresent(job::restore);
		TrackedJob tracked = new TrackedJob(job, this.clock.nanoTime());
		this.jobs.put(submission.id(), tracked);
		for (TaskProgress task : job.allTasks()) {
			if (task.status() == TaskStatus.PLACED) {
				inherit(task);
			}
		}
		if (stored.isEmpty()) {
			this.changedJobs.add(submission.id());
			this.listener.jobSeen(job);
		}
		if (this.cancelledEarly.remove(submission.id())) {
			cancelled(submission.id());
		}
	}

	private void inherit(TaskProgress task) {
		HostState host = host(task.host());
		Optional<Departure> departure = host.departure()
			.filter((known) -> known.endsRunsOf(task.worker(), task.workerStartMillis()));
		if (departure.isPresent()) {
			task.loseRun();
			this.changedJobs.add(task.key().job());
			this.listener.runLost(task, task.run(), host.name(), ReportProcessor.LEFT,
					Evidence.of(departure.get(), this.clock.millis()));
			return;
		}
		host.placements().put(task.key(), new Placement(task, Placement.Phase.INHERITED, this.clock.nanoTime()));
	}

	/**
	 * Cancels a job. The runs that it still has are stopped by the answers to the next
	 * reports of their hosts.
	 * @param id the identity of the job
	 * @return the hosts that run tasks of the job
	 */
	public Set<String> cancelled(String id) {
		TrackedJob tracked = this.jobs.get(id);
		if (tracked == null) {
			this.cancelledEarly.add(id);
			return Set.of();
		}
		if (tracked.job().state().terminal()) {
			return Set.of();
		}
		return end(tracked.job(), JobState.CANCELLED, "cancelled by the caller");
	}

	Set<String> end(JobProgress job, JobState state, String reason) {
		job.end(state, this.clock.instant().toEpochMilli());
		this.changedJobs.add(job.id());
		this.listener.jobEnded(job, reason);
		Set<String> affected = new LinkedHashSet<>();
		for (TaskProgress task : job.allTasks()) {
			if (task.status() == TaskStatus.PLACED) {
				affected.add(task.host());
			}
		}
		return affected;
	}

	/**
	 * Assigns waiting tasks to workers.
	 */
	public void schedule() {
		Map<String, List<HostRoom>> rooms = new HashMap<>();
		long now = this.clock.nanoTime();
		for (HostState host : this.hosts.values()) {
			if (takesTasks(host)) {
				rooms.computeIfAbsent(host.worker().getService(), (service) -> new ArrayList<>())
					.add(new HostRoom(host, now));
			}
		}
		if (rooms.isEmpty()) {
			return;
		}
		Set<TaskKey> unassigned = unassignedRuns();
		for (TrackedJob tracked : waitingJobs(now)) {
			Queue queue = this.configuration.findByName(tracked.job().submission().queue()).orElseThrow();
			assign(tracked, rooms.getOrDefault(queue.service(), List.of()), unassigned);
		}
	}

	/**
	 * Returns the tasks of which a host lists a run that is not assigned to it, such as a
	 * start that was carried out late. They wait until that run has ended.
	 * @return the tasks
	 */
	private Set<TaskKey> unassignedRuns() {
		Set<TaskKey> unassigned = new HashSet<>();
		this.hosts.values().forEach((host) -> unassigned.addAll(host.strangers().keySet()));
		return unassigned;
	}

	boolean takesTasks(HostState host) {
		return host.open() && !host.quarantined(this.clock.nanoTime())
				&& !this.evacuated.contains(host.worker().getFailureDomain());
	}

	/**
	 * Says whether much of the reserved processor of a service is free.
	 * @param service the service
	 * @return true if a job should rather run badly than wait
	 */
	boolean roomy(String service) {
		long capacity = 0;
		long free = 0;
		for (HostState host : this.hosts.values()) {
			if (host.open() && host.worker().getService().equals(service)) {
				capacity += host.worker().getMilliCores();
				free += host.freeMilliCores();
			}
		}
		return capacity - free < capacity * DispatchSettings.ROOMY_SHARE;
	}

	private List<TrackedJob> waitingJobs(long now) {
		List<TrackedJob> waiting = new ArrayList<>();
		for (TrackedJob tracked : this.jobs.values()) {
			if (tracked.job().state().terminal()) {
				continue;
			}
			Optional<Queue> queue = this.configuration.findByName(tracked.job().submission().queue());
			if (queue.isPresent()) {
				tracked.rank(WaitingOrder.rank(tracked.job(), queue.get(), tracked.seenNanos(), now));
				waiting.add(tracked);
			}
		}
		waiting.sort((first, second) -> first.rank().compareTo(second.rank()));
		return waiting;
	}

	private void assign(TrackedJob tracked, List<HostRoom> rooms, Set<TaskKey> unassigned) {
		JobProgress job = tracked.job();
		if (job.hasAssignedTask()) {
			tracked.running(this.clock.nanoTime());
		}
		List<StepSpecification> steps = job.submission().specification().steps();
		for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
			if (job.submission().specification().dueMillis(occurrence) > this.clock.millis()) {
				break;
			}
			for (int step = 0; step < steps.size(); step++) {
				if (job.predecessorsDone(occurrence, step)) {
					assignStep(tracked, job.tasks(occurrence, step), rooms, unassigned);
				}
			}
		}
	}

	private void assignStep(TrackedJob tracked, List<TaskProgress> tasks, List<HostRoom> rooms,
			Set<TaskKey> unassigned) {
		if (tasks.get(0).step().gang()) {
			if (tasks.stream().anyMatch((task) -> unassigned.contains(task.key()))) {
				return;
			}
			new GangAssignment(this.policy, rooms).choose(tasks)
				.ifPresent((choice) -> choice.forEach((task, room) -> place(tracked, task, room, choice.run())));
			return;
		}
		for (TaskProgress task : tasks) {
			if (!task.status().waiting() || unassigned.contains(task.key())) {
				continue;
			}
			HostRoom room = this.policy.choose(task, rooms);
			if (room == null && tracked.starving(this.clock.nanoTime()) && !rooms.isEmpty()
					&& roomy(rooms.get(0).host().worker().getService())) {
				room = this.policy.chooseForStarving(task, rooms);
			}
			if (room == null) {
				return;
			}
			room.take(task.step());
			place(tracked, task, room, task.run() + 1);
		}
	}

	private void place(TrackedJob tracked, TaskProgress task, HostRoom room, int run) {
		HostState host = room.host();
		long now = this.clock.nanoTime();
		task.assign(run, host.name(), host.worker().getId(), host.worker().getBorn());
		host.placements().put(task.key(), new Placement(task, Placement.Phase.RECORDING, now));
		tracked.job().markActive();
		tracked.running(now);
		this.changedJobs.add(task.key().job());
		this.newStarts.add(new DispatchBatch.Start(task.key(), run, host.name()));
		this.listener.placed(task, (now - tracked.seenNanos()) / 1_000_000);
	}

	/**
	 * Takes what has to be recorded, up to a number of jobs.
	 * @param most the most jobs in the batch
	 * @return the batch
	 */
	public DispatchBatch takeBatch(int most) {
		Map<String, String> rows = new LinkedHashMap<>();
		for (String id : List.copyOf(this.changedJobs)) {
			if (rows.size() == most) {
				break;
			}
			this.changedJobs.remove(id);
			rows.put(id, this.jobs.get(id).job().write());
		}
		boolean all = this.changedJobs.isEmpty();
		List<DispatchBatch.Start> starts = new ArrayList<>();
		for (DispatchBatch.Start start : List.copyOf(this.newStarts)) {
			if (rows.containsKey(start.task().job())) {
				starts.add(start);
				this.newStarts.remove(start);
			}
		}
		Map<String, DispatchBatch.WorkerEnds> ends = all ? Map.copyOf(this.changedEnds) : Map.of();
		if (all) {
			this.changedEnds.clear();
		}
		return new DispatchBatch(rows, starts, ends, expired(most - rows.size()));
	}

	private List<String> expired(int most) {
		List<String> expired = new ArrayList<>();
		long before = this.clock.millis() - this.settings.retention().toMillis();
		for (TrackedJob tracked : this.jobs.values()) {
			if (expired.size() < most && tracked.job().state().terminal() && tracked.job().endedMillis() < before) {
				expired.add(tracked.job().id());
			}
		}
		return expired;
	}

	/**
	 * Says whether anything waits to be recorded.
	 * @return true if the next batch is not empty
	 */
	public boolean hasChanges() {
		return !this.changedJobs.isEmpty() || !this.changedEnds.isEmpty();
	}

	/**
	 * Learns that a batch is recorded.
	 * @param batch the batch
	 * @param mayStart whether what is known of the operator is fresh enough to start
	 * tasks
	 * @return the orders to send by host
	 */
	public Map<String, List<StartOrder>> recorded(DispatchBatch batch, boolean mayStart) {
		batch.removals().forEach(this.jobs::remove);
		batch.ends().forEach((name, ends) -> {
			HostState host = host(name);
			if (host.worker().getId().equals(ends.worker()) && host.worker().getBorn() == ends.born()) {
				host.recordedEnds(ends.number());
			}
		});
		Map<String, List<StartOrder>> orders = new LinkedHashMap<>();
		for (DispatchBatch.Start start : batch.starts()) {
			HostState host = host(start.host());
			Placement placement = host.placements().get(start.task());
			TrackedJob tracked = this.jobs.get(start.task().job());
			if (placement == null || tracked == null || placement.run() != start.run() || !placement.current()) {
				continue;
			}
			if (!mayStart || tracked.job().state().terminal() || !host.open()
					|| placement.task().workerStartMillis() != host.worker().getBorn()
					|| this.evacuated.contains(host.worker().getFailureDomain())) {
				neverOrdered(host, placement);
				continue;
			}
			placement.ordered(host.nextOrder(), this.clock.nanoTime());
			orders.computeIfAbsent(start.host(), (name) -> new ArrayList<>())
				.add(order(tracked.job(), placement, host));
		}
		return orders;
	}

	private void neverOrdered(HostState host, Placement placement) {
		host.placements().remove(placement.task().key());
		placement.task().endRun(false);
		this.changedJobs.add(placement.task().key().job());
		this.listener.runEnded(placement.task(), placement.run(), host.name(), "never ordered");
	}

	private StartOrder order(JobProgress job, Placement placement, HostState host) {
		StepSpecification step = placement.task().step();
		return StartOrder.newBuilder()
			.setTask(TaskNames.name(placement.task().key()))
			.setRun(placement.run())
			.setSpecification(job.submission().specification().text())
			.setCheckpoint(placement.task().checkpoint())
			.setTraits(traits(step, host))
			.setMilliCores(step.reservedMilliCores())
			.setMemoryMegabytes(step.memoryMegabytes())
			.setAccelerators(step.accelerators())
			.setWorker(host.worker().getId())
			.setWorkerBorn(host.worker().getBorn())
			.build();
	}

	TaskTraits traits(StepSpecification step, HostState host) {
		return TaskTraits.newBuilder()
			.setFiller(step.filler())
			.setTailTarget((int) step.tailTarget().toMillis())
			.setImage(step.image())
			.setPressure(step.filler() ? this.policy.pressure(step, host.worker()) : 0)
			.build();
	}

	void changed(String job) {
		this.changedJobs.add(job);
	}

	void endsSeen(HostState host) {
		this.changedEnds.put(host.name(),
				new DispatchBatch.WorkerEnds(host.worker().getId(), host.worker().getBorn(), host.seenEnds()));
	}

	/**
	 * Returns the tracked state of a host, which is created at its first mention.
	 * @param name the name of the host
	 * @return the state
	 */
	HostState host(String name) {
		return this.hosts.computeIfAbsent(name, HostState::new);
	}

	Collection<HostState> hosts() {
		return this.hosts.values();
	}

	Optional<JobProgress> job(String id) {
		return Optional.ofNullable(this.jobs.get(id)).map(TrackedJob::job);
	}

	Optional<Queue> queueOf(JobProgress job) {
		return this.configuration.findByName(job.submission().queue());
	}

	DispatchListener listener() {
		return this.listener;
	}

	DispatchSettings settings() {
		return this.settings;
	}

	Clock clock() {
		return this.clock;
	}

	/**
	 * A job and when the leader learned of it.
	 */
	private static final class TrackedJob {

		private final JobProgress job;

		private final long seenNanos;

		private long runningNanos;

		private WaitingOrder.Rank rank = new WaitingOrder.Rank(0, 0, 0);

		private TrackedJob(JobProgress job, long seenNanos) {
			this.job = job;
			this.seenNanos = seenNanos;
			this.runningNanos = seenNanos;
		}

		private JobProgress job() {
			return this.job;
		}

		private long seenNanos() {
			return this.seenNanos;
		}

		private void running(long nowNanos) {
			this.runningNanos = nowNanos;
		}

		private boolean starving(long nowNanos) {
			return nowNanos - this.runningNanos > DispatchSettings.STARVATION.toNanos();
		}

		private WaitingOrder.Rank rank() {
			return this.rank;
		}

		private void rank(WaitingOrder.Rank next) {
			this.rank = next;
		}

	}

}
