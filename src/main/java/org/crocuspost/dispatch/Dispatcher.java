package org.crocuspost.dispatch;

import java.time.Duration;
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
import org.crocuspost.job.StoredProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.time.Clock;
import org.crocuspost.wire.StartOrder;
import org.crocuspost.wire.TaskTraits;
import org.jspecify.annotations.Nullable;

/**
 * Assigns tasks to workers, based on the leader's working copy of all jobs and hosts. The
 * caller records the decisions in the store and sends the orders. Not thread-safe.
 *
 * <p>
 * A start order is sent only after the assignment of the run and the job are recorded,
 * and the end of a run is acknowledged only after it is recorded. Therefore, a leader
 * that takes over finds every run that may exist. {@link PendingChanges} keeps the order.
 */
public final class Dispatcher {

	private static final String NEVER_ORDERED = "never ordered";

	private final DispatchSettings settings;

	private final PlacementPolicy policy;

	private final StartOrders startOrders;

	private final ProbationPlacement probationPlacement;

	private final ServiceMoves serviceMoves = new ServiceMoves();

	private final ServiceConsolidation consolidation;

	private final RoomForServices roomForServices;

	private final FillerCapacitySurvey fillerCapacity = new FillerCapacitySurvey();

	private final FreeWorkerNeeds freeWorkerNeeds;

	private final JobSelection selection;

	private final Clock clock;

	private final DispatchListener listener;

	private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();

	private final Map<String, HostState> hosts = new LinkedHashMap<>();

	private final Set<String> earlyCancellations = new LinkedHashSet<>();

	private final MeanJobWork meanWork = new MeanJobWork();

	private final PendingChanges changes = new PendingChanges();

	private final EndedJobs endedJobs;

	private final LoadMeasurements load;

	private final UnavailabilityTracker unavailability = new UnavailabilityTracker();

	private final FailedStarts failedStarts = new FailedStarts();

	private long lastPassNanos;

	private @Nullable TrackedJob nextJob;

	/**
	 * Starts that are recorded, and wait until the operator's state is recent enough.
	 * Deciding them anew instead would record their tasks twice more, while the leader is
	 * short of time already.
	 */
	private final Set<DispatchBatch.Start> heldStarts = new LinkedHashSet<>();

	private QueueConfiguration configuration = new QueueConfiguration(0, List.of(), List.of(), 0);

	private Set<String> evacuated = Set.of();

	/**
	 * Creates a dispatcher without jobs and hosts.
	 * @param settings the durations and thresholds
	 * @param policy selects the workers
	 * @param clock the clock of the process
	 * @param listener receives the decisions
	 */
	public Dispatcher(DispatchSettings settings, PlacementPolicy policy, Clock clock, DispatchListener listener) {
		this.settings = settings;
		this.endedJobs = new EndedJobs(settings.retention());
		this.policy = policy;
		this.startOrders = new StartOrders(policy);
		this.probationPlacement = new ProbationPlacement(policy);
		this.consolidation = new ServiceConsolidation(this.serviceMoves, listener);
		this.roomForServices = new RoomForServices(listener);
		this.freeWorkerNeeds = new FreeWorkerNeeds(policy);
		this.selection = new JobSelection(this.freeWorkerNeeds, listener);
		this.clock = clock;
		this.listener = listener;
		this.load = new LoadMeasurements(this, policy, clock);
		this.lastPassNanos = clock.nanoTime();
	}

	/**
	 * Applies a configuration.
	 * @param next the configuration; ignored unless its version is higher than the
	 * current one
	 */
	public void configure(QueueConfiguration next) {
		if (next.version() > this.configuration.version()) {
			this.configuration = next;
			this.jobs.values().forEach((tracked) -> endIfAttemptsExhausted(tracked.job()));
		}
	}

	/**
	 * Sets the failure domains that are out of service.
	 * @param domains all failure domains in which no task may start
	 */
	public void setEvacuatedDomains(Collection<String> domains) {
		this.evacuated = Set.copyOf(domains);
	}

	/**
	 * Adds an accepted job. Ignores a job that was added before.
	 * @param submission the job
	 * @param stored the stored progress of the job; empty if none was recorded yet
	 * @return whether the job was added and its row has to be recorded
	 */
	public boolean submitted(JobSubmission submission, Optional<StoredProgress> stored) {
		if (this.jobs.containsKey(submission.id()) || this.endedJobs.contains(submission.id())) {
			return false;
		}
		JobProgress job = new JobProgress(submission);
		stored.ifPresent(job::restore);
		TrackedJob tracked = new TrackedJob(job, this.clock);
		this.jobs.put(submission.id(), tracked);
		if (tracked.begun()) {
			// The row of the job may not have been recorded with the end of the run.
			markActive(job);
		}
		this.meanWork.add(submission.queue(), WaitingOrder.totalWork(submission.specification()));
		if (job.state().terminal()) {
			addEnded(job);
		}
		if (!job.state().terminal()) {
			job.allTasks().forEach((task) -> this.unavailability.inherited(task, this.clock.nanoTime()));
		}
		for (TaskProgress task : job.allTasks()) {
			if (task.status() == TaskStatus.PLACED) {
				inheritRun(task);
			}
		}
		endIfAttemptsExhausted(job);
		boolean unrecorded = stored.flatMap(StoredProgress::job).isEmpty();
		if (unrecorded) {
			this.changes.jobChanged(submission.id());
			this.listener.jobSeen(job);
		}
		if (this.earlyCancellations.remove(submission.id())) {
			cancelled(submission.id());
		}
		return unrecorded;
	}

	/**
	 * Adds a job that ended before this leader took over and whose specification is not
	 * stored any more.
	 * @param id the identity of the job
	 * @param endedMillis the time of its end, Unix time in milliseconds
	 */
	public void endedEarlier(String id, long endedMillis) {
		if (!this.jobs.containsKey(id)) {
			this.endedJobs.addReduced(id, endedMillis);
			this.earlyCancellations.remove(id);
		}
	}

	private JobTiming timing(JobProgress job) {
		TrackedJob tracked = this.jobs.get(job.id());
		Duration age = (tracked != null) ? tracked.age(this.clock.nanoTime()) : Duration.ZERO;
		return new JobTiming(age,
				queueOf(job).map((queue) -> WaitingOrder.objective(queue, job.submission().specification())));
	}

	private void addEnded(JobProgress job) {
		this.endedJobs.add(job.id(), job.endedMillis(),
				job.allTasks().stream().filter(TaskProgress::everAssigned).map(TaskProgress::key).toList());
	}

	private void inheritRun(TaskProgress task) {
		HostState host = host(task.host());
		Optional<Departure> departure = host.departure()
			.filter((recorded) -> recorded.endsRunsOf(task.worker(), task.workerStartMillis()));
		if (departure.isPresent()) {
			task.loseRun();
			markChanged(task.key());
			this.listener.runLost(task, task.run(), host.name(), ReportProcessor.WORKER_LEFT,
					Evidence.of(departure.get(), this.clock.millis()), Duration.ZERO);
			return;
		}
		host.placements().put(task.key(), new Placement(task, Placement.Phase.INHERITED, this.clock.nanoTime()));
	}

	/**
	 * Cancels a job. The answers to the next reports of the hosts stop the remaining runs
	 * of the job. A cancellation that arrives before its job is kept until the job is
	 * added.
	 * @param id the identity of the job
	 * @return the hosts to which tasks of the job are assigned
	 */
	public Set<String> cancelled(String id) {
		TrackedJob tracked = this.jobs.get(id);
		if (tracked == null) {
			if (!this.endedJobs.contains(id)) {
				this.earlyCancellations.add(id);
			}
			return Set.of();
		}
		if (tracked.job().state().terminal()) {
			return Set.of();
		}
		return endJob(tracked.job(), JobState.CANCELLED, "cancelled by the caller");
	}

	Set<String> endJob(JobProgress job, JobState state, String reason) {
		job.end(state, this.clock.instant().toEpochMilli());
		addEnded(job);
		this.roomForServices.jobEnded(job.id());
		this.serviceMoves.jobEnded(job.id());
		this.changes.jobChanged(job.id());
		this.unavailability.jobEnded(job.id());
		this.failedStarts.jobEnded(job.id());
		this.listener.jobEnded(job, reason, timing(job));
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
		Map<String, List<CandidateHost>> candidatesByService = new HashMap<>();
		long now = this.clock.nanoTime();
		this.lastPassNanos = now;
		for (HostState host : this.hosts.values()) {
			if (schedulable(host)) {
				candidatesByService.computeIfAbsent(host.worker().getService(), (service) -> new ArrayList<>())
					.add(new CandidateHost(host, now));
			}
		}
		candidatesByService.forEach((service, candidates) -> {
			this.fillerCapacity.observe(service, candidates, now);
			this.freeWorkerNeeds.observe(service, candidates, now);
		});
		List<CandidateHost> allCandidates = candidatesByService.values().stream().flatMap(List::stream).toList();
		this.serviceMoves.beginPass(allCandidates, now);
		this.roomForServices.beginPass(allCandidates, now);
		if (candidatesByService.isEmpty()) {
			return;
		}
		if (assignWaiting(waitingJobs(now), candidatesByService)) {
			candidatesByService
				.forEach((service, candidates) -> this.consolidation.consolidate(service, candidates, now));
		}
	}

	/**
	 * Assigns the tasks of waiting jobs until the pass has taken too long. Long-running
	 * jobs come first in each pass. The next pass goes on with the job at which this one
	 * ends, so that jobs that find no worker do not keep the pass from those behind them.
	 * @param waiting the jobs, the first to be served first
	 * @param candidatesByService the hosts whose workers accept tasks
	 * @return whether the pass has come to the last job
	 */
	private boolean assignWaiting(List<TrackedJob> waiting, Map<String, List<CandidateHost>> candidatesByService) {
		Set<TaskKey> unassigned = tasksWithUnassignedRuns();
		int others = 0;
		while (others < waiting.size() && waiting.get(others).longRunning()) {
			assign(waiting.get(others++), candidatesByService, unassigned);
		}
		long startNanos = this.clock.nanoTime();
		int first = Math.max(others, waiting.indexOf(this.nextJob));
		this.nextJob = null;
		for (TrackedJob tracked : waiting.subList(first, waiting.size())) {
			if (this.clock.nanoTime() - startNanos > DispatchSettings.MAXIMUM_PASS_DURATION.toNanos()) {
				this.nextJob = tracked;
				return false;
			}
			assign(tracked, candidatesByService, unassigned);
		}
		return true;
	}

	private void assign(TrackedJob tracked, Map<String, List<CandidateHost>> candidatesByService,
			Set<TaskKey> unassigned) {
		Queue queue = this.configuration.findByName(tracked.job().submission().queue()).orElseThrow();
		assign(tracked, candidatesByService.getOrDefault(queue.service(), List.of()), unassigned);
	}

	/**
	 * Returns the tasks for which a host lists a run that is not assigned to it, such as
	 * a start order that was carried out late. These tasks wait until that run has ended.
	 * @return the tasks
	 */
	private Set<TaskKey> tasksWithUnassignedRuns() {
		Set<TaskKey> unassigned = new HashSet<>();
		this.hosts.values().forEach((host) -> unassigned.addAll(host.unassignedRuns().keySet()));
		return unassigned;
	}

	boolean schedulable(HostState host) {
		long now = this.clock.nanoTime();
		return host.available() && !host.quarantined(now) && !host.startBackOff().excludes(now)
				&& !host.leaseLapsed(this.settings.leaseTimeout(), now) && !evacuated(host);
	}

	boolean evacuated(HostState host) {
		return this.evacuated.contains(host.worker().getFailureDomain());
	}

	/**
	 * Returns whether less than {@link DispatchSettings#MAXIMUM_RESERVED_SHARE} of the
	 * processor capacity of a service's workers is reserved.
	 * @param service the service
	 * @return true if a job should run on an unsuitable worker rather than wait
	 */
	boolean hasSpareCapacity(String service) {
		long capacity = 0;
		long free = 0;
		for (HostState host : this.hosts.values()) {
			if (host.available() && host.worker().getService().equals(service)) {
				capacity += host.worker().getMilliCores();
				free += host.freeMilliCores();
			}
		}
		return capacity - free < capacity * DispatchSettings.MAXIMUM_RESERVED_SHARE;
	}

	private List<TrackedJob> waitingJobs(long now) {
		List<JobSelection.WaitingJob> waiting = new ArrayList<>();
		Map<String, FillerCapacity> capacities = new HashMap<>();
		for (TrackedJob tracked : this.jobs.values()) {
			if (tracked.job().state().terminal()) {
				continue;
			}
			Optional<Queue> queue = this.configuration.findByName(tracked.job().submission().queue());
			if (queue.isPresent()) {
				double mean = this.meanWork.mean(queue.get().name());
				tracked.rank(WaitingOrder.rank(tracked.job(), queue.get(), tracked.acceptedNanos(), now, mean));
				waiting.add(new JobSelection.WaitingJob(tracked, queue.get(), mean));
				String service = queue.get().service();
				this.fillerCapacity.find(service, now).ifPresent((capacity) -> capacities.put(service, capacity));
			}
		}
		return this.selection.order(waiting, capacities, now);
	}

	private void assign(TrackedJob tracked, List<CandidateHost> candidates, Set<TaskKey> unassigned) {
		JobProgress job = tracked.job();
		if (!tracked.longRunning() && this.changes.waitingStarts() >= DispatchSettings.MAXIMUM_UNRECORDED_STARTS) {
			return;
		}
		if (hasRunOrRecentStart(job)) {
			tracked.markRunning(this.clock.nanoTime());
		}
		if (job.hasAssignedTask()) {
			tracked.markAssigned(this.clock.nanoTime());
		}
		List<StepSpecification> steps = job.submission().specification().steps();
		for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
			if (job.submission().specification().dueMillis(occurrence) > this.clock.millis()) {
				break;
			}
			for (int step = 0; step < steps.size(); step++) {
				if (job.predecessorsDone(occurrence, step)) {
					assignStep(tracked, job.tasks(occurrence, step), candidates, unassigned);
				}
			}
		}
	}

	/**
	 * Returns whether a job should accept any worker with enough free resources. Neither
	 * a run that a silent worker may still have nor a failed start keeps the rest of the
	 * job from starting, except for a suspected task, which may be the reason for them.
	 * @param tracked the job
	 * @param task the waiting task
	 * @return true if nothing of the job has run for some time
	 */
	private boolean isStarving(TrackedJob tracked, TaskProgress task) {
		long now = this.clock.nanoTime();
		return Suspicion.suspected(task) ? tracked.withoutAssignment(now) : tracked.starving(now);
	}

	/**
	 * Returns whether a task of a job is known to run, or was assigned so recently that
	 * its run may not be listed yet. An assignment alone is no proof: the worker may be
	 * silent, or never start the run.
	 * @param job the job
	 * @return true if the job does not have to get a worker at once
	 */
	private boolean hasRunOrRecentStart(JobProgress job) {
		long now = this.clock.nanoTime();
		for (TaskProgress task : job.allTasks()) {
			if (task.status() != TaskStatus.PLACED) {
				continue;
			}
			HostState host = host(task.host());
			Placement placement = host.placements().get(task.key());
			if (placement != null && ((placement.listed() && host.connected() && host.workerResponds())
					|| placement.phase() == Placement.Phase.RECORDING
					|| placement.timeInPhase(now).compareTo(DispatchSettings.START_CONFIRMATION_TIMEOUT) < 0)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Ends a job if one of its tasks has failed too often. That is normally noticed when
	 * the failure is reported, but a new leader may receive reports before it knows the
	 * allowed number, and may read a failure that was recorded without the end of its
	 * job.
	 * @param job the job
	 */
	private void endIfAttemptsExhausted(JobProgress job) {
		int allowed = queueOf(job).map(Queue::attempts).orElse(Integer.MAX_VALUE);
		for (TaskProgress task : job.allTasks()) {
			if (!job.state().terminal() && task.failures() >= allowed && task.status().waiting()
					&& !task.step().lasting()) {
				endJob(job, JobState.FAILED, "task " + task.key() + " failed " + task.failures() + " times");
			}
		}
	}

	private void assignStep(TrackedJob tracked, List<TaskProgress> tasks, List<CandidateHost> candidates,
			Set<TaskKey> unassigned) {
		if (tasks.get(0).step().gang()) {
			if (tasks.stream().anyMatch((task) -> unassigned.contains(task.key()))) {
				return;
			}
			new GangAssignment(this.policy, candidates).choose(tasks)
				.ifPresent(
						(choice) -> choice.forEach((task, candidate) -> place(tracked, task, candidate, choice.run())));
			return;
		}
		for (TaskProgress task : tasks) {
			if (!task.status().waiting() || unassigned.contains(task.key())) {
				continue;
			}
			this.roomForServices.releaseHeldRoom(task);
			CandidateHost candidate = choose(task, candidates);
			if (candidate == null && isStarving(tracked, task) && !candidates.isEmpty()
					&& hasSpareCapacity(candidates.get(0).host().worker().getService())) {
				candidate = this.policy.chooseForStarving(task, candidates);
			}
			if (candidate == null) {
				if (RoomForServices.concerns(task)) {
					this.roomForServices.makeRoom(task, candidates, this.clock.nanoTime());
					continue;
				}
				if (Suspicion.suspected(task)) {
					continue;
				}
				if (task.step().filler()) {
					queueOf(tracked.job()).ifPresent((queue) -> this.consolidation.noticeWaitingFillers(queue.service(),
							task.step(), countWaiting(tasks)));
				}
				return;
			}
			candidate.reserve(task);
			place(tracked, task, candidate, task.run() + 1);
		}
	}

	private @Nullable CandidateHost choose(TaskProgress task, List<CandidateHost> candidates) {
		CandidateHost target = this.serviceMoves.releaseTarget(task);
		if (Suspicion.suspected(task)) {
			return this.probationPlacement.choose(task, candidates);
		}
		return (target != null && PlacementPolicy.feasible(task, target)) ? target
				: this.policy.choose(task, candidates);
	}

	private static int countWaiting(List<TaskProgress> tasks) {
		return (int) tasks.stream().filter((task) -> task.status().waiting()).count();
	}

	private void place(TrackedJob tracked, TaskProgress task, CandidateHost candidate, int run) {
		HostState host = candidate.host();
		long now = this.clock.nanoTime();
		if (task.step().filler() && host.runsService()) {
			host.addExpectedIncreases(this.policy.reservedPressures(task.step(), host));
		}
		this.roomForServices.placed(task.key());
		this.serviceMoves.placed(task.key());
		task.assign(run, host.name(), host.worker().getId(), host.worker().getBorn());
		host.placements().put(task.key(), new Placement(task, Placement.Phase.RECORDING, now));
		tracked.markRunning(now);
		tracked.markAssigned(now);
		this.changes.runPlaced(new DispatchBatch.Start(task.key(), run, host.name()), task.step().lasting());
		this.listener.placed(task, (now - tracked.acceptedNanos()) / 1_000_000);
	}

	/**
	 * Returns the measurements of the load of all jobs and hosts.
	 * @return the measurements, which always refer to the current state
	 */
	public LoadMeasurements load() {
		return this.load;
	}

	/**
	 * Takes the next batch of decisions that have to be recorded.
	 * @param limit the maximum number of rows in the batch
	 * @param characterLimit the maximum length of the rows in the batch, exceeded only by
	 * a single row
	 * @return the batch
	 */
	public DispatchBatch takeBatch(int limit, int characterLimit) {
		DispatchBatch changed = this.changes.take(limit, characterLimit, this::jobRow, this::taskRow);
		long nowMillis = this.clock.millis();
		if (!this.endedJobs.isDue(nowMillis)) {
			return changed;
		}
		int remaining = limit - changed.jobs().size() - changed.tasks().size();
		return new DispatchBatch(changed.jobs(), changed.tasks(), changed.starts(), changed.ends(),
				this.endedJobs.next(remaining, nowMillis, jobsWithRuns()));
	}

	/**
	 * Reduces a batch of one row that the store rejects: the row of a task is recorded
	 * without its checkpoint. The task keeps no checkpoint of that length any more, so
	 * its next run may repeat work.
	 * @param batch the batch
	 * @return the reduced batch; empty if there is nothing to omit
	 */
	public List<DispatchBatch> reduce(DispatchBatch batch) {
		for (TaskKey key : batch.tasks().keySet()) {
			Optional<TaskProgress> task = job(key.job()).map((found) -> found.task(key))
				.filter((found) -> !found.checkpoint().isEmpty());
			if (task.isPresent()) {
				task.get().rejectCheckpoint();
				return List.of(new DispatchBatch(batch.jobs(), Map.of(key, task.get().write()), batch.starts(),
						batch.ends(), batch.cleanup()));
			}
		}
		return List.of();
	}

	/**
	 * Takes back a batch that was not recorded, to be recorded after all other changes.
	 * @param batch the batch
	 */
	public void postpone(DispatchBatch batch) {
		this.changes.takeBack(batch);
	}

	private String jobRow(String id) {
		TrackedJob tracked = this.jobs.get(id);
		return (tracked != null) ? tracked.job().summary().write() : "";
	}

	private String taskRow(TaskKey key) {
		TrackedJob tracked = this.jobs.get(key.job());
		// The tasks of an ended job never start again.
		return (tracked == null || tracked.job().state().terminal()) ? "" : tracked.job().task(key).write();
	}

	private Set<String> jobsWithRuns() {
		Set<String> result = new HashSet<>();
		for (HostState host : this.hosts.values()) {
			host.placements().keySet().forEach((task) -> result.add(task.job()));
			host.unassignedRuns().keySet().forEach((task) -> result.add(task.job()));
		}
		return result;
	}

	/**
	 * Returns how many rows wait to be recorded.
	 * @return the numbers of rows
	 */
	public RecordBacklog recordBacklog() {
		return this.changes.backlog();
	}

	/**
	 * Returns whether decisions wait to be recorded.
	 * @return true if the next batch holds changed jobs, changed tasks or ends of runs
	 */
	public boolean hasChanges() {
		return !this.changes.isEmpty();
	}

	/**
	 * Handles the confirmation that a batch is recorded. A start that has become invalid
	 * in the meantime is cancelled instead of ordered. One that may not be ordered yet
	 * waits for {@link #releaseStarts(boolean)}.
	 * @param batch the batch
	 * @param mayStart whether the operator's state is recent enough to start tasks
	 * @return the orders to send by host
	 */
	public Map<String, List<StartOrder>> recorded(DispatchBatch batch, boolean mayStart) {
		batch.cleanup().reduced().forEach(this.jobs::remove);
		this.endedJobs.removed(batch.cleanup());
		batch.ends().forEach((name, ends) -> {
			HostState host = host(name);
			if (host.worker().getId().equals(ends.worker()) && host.worker().getBorn() == ends.born()) {
				host.recordedEnds(ends.number());
			}
		});
		return order(batch.starts(), mayStart);
	}

	/**
	 * Orders the recorded starts that had to wait, cancels those that have become invalid
	 * or have waited too long, and keeps the others.
	 * @param mayStart whether the operator's state is recent enough to start tasks
	 * @return the orders to send by host
	 */
	public Map<String, List<StartOrder>> releaseStarts(boolean mayStart) {
		List<DispatchBatch.Start> held = List.copyOf(this.heldStarts);
		this.heldStarts.clear();
		return order(held, mayStart);
	}

	private Map<String, List<StartOrder>> order(List<DispatchBatch.Start> starts, boolean mayStart) {
		Map<String, List<StartOrder>> orders = new LinkedHashMap<>();
		Set<TaskKey> unassigned = starts.isEmpty() ? Set.of() : tasksWithUnassignedRuns();
		long now = this.clock.nanoTime();
		for (DispatchBatch.Start start : starts) {
			HostState host = host(start.host());
			Placement placement = host.placements().get(start.task());
			TrackedJob tracked = this.jobs.get(start.task().job());
			if (placement == null || tracked == null || placement.run() != start.run() || !placement.current()) {
				continue;
			}
			boolean heldTooLong = !mayStart && placement.age(now).compareTo(DispatchSettings.MAXIMUM_START_HOLD) >= 0;
			if (heldTooLong || !mayBeOrdered(tracked, placement, host) || unassigned.contains(start.task())) {
				cancelUnsentStart(host, placement);
				continue;
			}
			if (!mayStart) {
				this.heldStarts.add(start);
				continue;
			}
			placement.ordered(host.nextOrderNumber(), host.connections(), now);
			orders.computeIfAbsent(start.host(), (name) -> new ArrayList<>())
				.add(this.startOrders.order(tracked.job(), placement, host));
		}
		return orders;
	}

	private boolean mayBeOrdered(TrackedJob tracked, Placement placement, HostState host) {
		return !tracked.job().state().terminal() && host.available()
				&& !host.leaseLapsed(this.settings.leaseTimeout(), this.clock.nanoTime())
				&& placement.task().workerStartMillis() == host.worker().getBorn() && !host.overCapacity()
				&& !this.evacuated.contains(host.worker().getFailureDomain()) && !this.roomForServices.stops(placement);
	}

	private void cancelUnsentStart(HostState host, Placement placement) {
		host.placements().remove(placement.task().key());
		placement.task().endRun(false);
		markChanged(placement.task().key());
		this.listener.runEnded(placement.task(), placement.run(), host.name(), NEVER_ORDERED);
		markStartFailed(placement, host, NEVER_ORDERED);
	}

	TaskTraits traits(StepSpecification step, HostState host) {
		return this.startOrders.traits(step, host);
	}

	/**
	 * Records that a run has begun on its worker. The first one makes its job active: an
	 * assignment may never reach the worker, or only after seconds.
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 * @param evidence the report that lists the run
	 */
	void markBegun(TaskKey task, int run, HostState host, Evidence evidence) {
		TrackedJob tracked = this.jobs.get(task.job());
		if (tracked != null && tracked.markBegun()) {
			markActive(tracked.job());
			long now = this.clock.nanoTime();
			this.listener.jobStarted(tracked.job(),
					new JobStart(task, run, host.name(), tracked.age(now), tracked.sinceAssigned(now), evidence));
		}
	}

	private void markActive(JobProgress job) {
		if (job.markActive()) {
			this.changes.jobChanged(job.id());
		}
	}

	void markChanged(TaskKey key) {
		boolean longRunning = job(key.job()).map((job) -> job.task(key))
			.filter((task) -> task.step().lasting())
			.isPresent();
		this.changes.taskChanged(key, longRunning);
	}

	void markEndsProcessed(HostState host) {
		this.changes.endsProcessed(host.name(),
				new DispatchBatch.WorkerEnds(host.worker().getId(), host.worker().getBorn(), host.processedEnds()));
	}

	/**
	 * Returns the state of a host and creates it if absent.
	 * @param name the name of the host
	 * @return the state
	 */
	HostState host(String name) {
		return this.hosts.computeIfAbsent(name, HostState::new);
	}

	Collection<HostState> hosts() {
		return this.hosts.values();
	}

	Collection<TrackedJob> trackedJobs() {
		return this.jobs.values();
	}

	QueueConfiguration configuration() {
		return this.configuration;
	}

	int wantedMoreWorkers() {
		return this.consolidation.wantedMore();
	}

	Optional<JobProgress> job(String id) {
		return Optional.ofNullable(this.jobs.get(id)).map(TrackedJob::job);
	}

	Optional<Queue> queueOf(JobProgress job) {
		return this.configuration.findByName(job.submission().queue());
	}

	/**
	 * Records that the run of a task has ended or was lost.
	 * @param task the task
	 * @param run the number of the run
	 * @param host the host
	 */
	void markInterrupted(TaskProgress task, int run, HostState host) {
		TrackedJob tracked = this.jobs.get(task.key().job());
		if (tracked != null && !tracked.job().state().terminal()) {
			this.unavailability.interrupted(task, run, host.name(), this.clock.nanoTime());
		}
	}

	/**
	 * Records that a run of a task was running.
	 * @param task the task
	 * @param age the age of the worker's list
	 */
	void markListed(TaskProgress task, Duration age) {
		TrackedJob tracked = this.jobs.get(task.key().job());
		if (tracked != null) {
			tracked.markListed(this.clock.nanoTime() - age.toNanos());
		}
		this.failedStarts.begun(task.key());
	}

	/**
	 * Records that an assignment did not lead to a run.
	 * @param placement the assignment
	 * @param host the host
	 * @param reason why the run did not begin
	 */
	void markStartFailed(Placement placement, HostState host, String reason) {
		TrackedJob tracked = this.jobs.get(placement.task().key().job());
		if (tracked != null && !tracked.job().state().terminal()) {
			this.failedStarts.add(placement.task().key(), host.name(), reason, this.clock.nanoTime());
			if (!reason.equals(NEVER_ORDERED)) {
				tracked.startFailed();
			}
		}
	}

	UnavailabilityTracker unavailability() {
		return this.unavailability;
	}

	FailedStarts failedStarts() {
		return this.failedStarts;
	}

	long lastPassNanos() {
		return this.lastPassNanos;
	}

	FreeWorkerNeeds freeWorkerNeeds() {
		return this.freeWorkerNeeds;
	}

	PlacementPolicy policy() {
		return this.policy;
	}

	ServiceMoves serviceMoves() {
		return this.serviceMoves;
	}

	RoomForServices roomForServices() {
		return this.roomForServices;
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

}
