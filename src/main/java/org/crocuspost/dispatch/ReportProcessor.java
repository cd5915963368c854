package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobState;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StopOrder;
import org.crocuspost.wire.TraitsOfRun;
import org.crocuspost.wire.WorkerDescription;

/**
 * Reconciles the leader's working copy with the reports of the hosts.
 *
 * <p>
 * A report is complete unless its flag for further ends is set. If it does not list a run
 * although the order for the run was handled, the run is not on the host. Therefore, lost
 * messages need no separate handling.
 */
public final class ReportProcessor {

	/**
	 * Time without progress after which a task is considered stalled.
	 */
	static final Duration STALL_TIMEOUT = Duration.ofMillis(2_500);

	/**
	 * Pace in percent below which a task without progress is not considered stalled.
	 */
	static final int STALL_MINIMUM_PACE = 50;

	static final String WORKER_LEFT = "worker left";

	private static final String LEASE_LAPSED = "lease lapsed";

	private final Dispatcher dispatcher;

	private final ImagePressure imagePressure;

	private final CrashAttribution crashAttribution;

	private long epoch;

	private OptionalLong formerExtensionsEndNanos = OptionalLong.empty();

	/**
	 * Creates the processor.
	 * @param dispatcher holds the working copy of jobs and hosts
	 * @param imagePressure the model of the pressure that fillers put on services,
	 * updated with each report
	 */
	public ReportProcessor(Dispatcher dispatcher, ImagePressure imagePressure) {
		this.dispatcher = dispatcher;
		this.imagePressure = imagePressure;
		this.crashAttribution = new CrashAttribution(dispatcher);
	}

	/**
	 * Sets until when former leaders may extend leases. A host whose first report comes
	 * later waits no longer than one that never reports.
	 * @param leaderEpoch the epoch of this leader
	 * @param extensionsEndNanos the end of that time, in nanoseconds of the process clock
	 */
	public void formerLeaders(long leaderEpoch, long extensionsEndNanos) {
		this.epoch = leaderEpoch;
		this.formerExtensionsEndNanos = OptionalLong.of(extensionsEndNanos);
	}

	/**
	 * Records that the connection to a host was opened or closed.
	 * @param name the name of the host
	 * @param connected whether the connection is open
	 */
	public void connected(String name, boolean connected) {
		HostState host = this.dispatcher.host(name);
		host.connected(connected);
		// A connection can be opened to an agent that is suspended or cannot be heard, so
		// what former reports said of the worker no longer counts.
		host.workerResponds(false);
		if (connected) {
			host.countConnection();
		}
	}

	/**
	 * Processes a report.
	 * @param report the report
	 * @param mayExtendLease whether the leadership of this process was confirmed recently
	 * enough to extend leases
	 * @return the answer to the report
	 */
	public Response reported(HostReport report, boolean mayExtendLease) {
		HostState host = this.dispatcher.host(report.getHost());
		long now = this.dispatcher.clock().nanoTime();
		host.connected(true);
		if (!host.formerLeadersExcluded()) {
			// An agent of the previous version sends no age. Its lease counts from now
			// on.
			long agentBasis = now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.getLeaseBasisAgeMillis()));
			host.countFormerExtensions(Math.min(agentBasis, this.formerExtensionsEndNanos.orElse(agentBasis)));
		}
		boolean namesWorker = !report.getWorker().getId().isEmpty();
		if (namesWorker) {
			host.reportedNanos(now);
			updateWorker(host, report);
		}
		if (excludesFormerLeaders(report)) {
			host.excludeFormerLeaders();
		}
		if (!namesWorker) {
			// The agent has no information on its worker and its runs yet.
			host.workerResponds(false);
			return Response.NONE;
		}
		boolean newIncarnation = !report.getLife().equals(host.agentIncarnation());
		host.agentIncarnation(report.getLife());
		host.workerResponds(report.getWorkerAnswers());
		if (!host.worker().getId().isEmpty()) {
			processEnds(host, report);
			processRuns(host, report, now, newIncarnation);
		}
		boolean extendLease = mayExtendLease && report.getWorkerAnswers() && report.getLeaseStamp() > 0;
		if (extendLease) {
			host.extendLease(now);
		}
		return new Response(extendLease ? report.getLeaseStamp() : 0, host.recordedEnds(),
				runsToStop(host, report, now), newIncarnation ? traits(host, report) : List.of());
	}

	/**
	 * Returns whether a report shows that no former leader can extend a lease any more:
	 * none of the runs that they know is left, or the worker rejects their calls. Both
	 * hold however long the report was under way.
	 * @param report the report
	 * @return true if leases count from the extensions by this leader from now on
	 */
	private boolean excludesFormerLeaders(HostReport report) {
		return listsLapsed(report) || report.getFencedEpoch() >= this.epoch;
	}

	private void updateWorker(HostState host, HostReport report) {
		WorkerDescription next = report.getWorker();
		WorkerDescription known = host.worker();
		this.crashAttribution.resolve(host, report);
		if (!host.sameWorker(next)) {
			List<Placement> crashed = this.crashAttribution.runsOfCrashedWorker(host, report);
			WorkerCrash crash = CrashAttribution.describe(crashed, report);
			loseRuns(host, "worker restarted", next, listedRuns(report), Evidence.of(report));
			if (crash != null) {
				this.dispatcher.listener().workerCrashed(host.name(), crash);
				this.crashAttribution.count(crashed);
				host.recordCrash(this.dispatcher.clock().nanoTime());
			}
			host.resetForNewWorker();
			this.dispatcher.listener()
				.hostChanged(host.name(), "worker seen", "worker " + next.getId() + " started at " + next.getBorn()
						+ " in failure domain " + next.getFailureDomain());
		}
		if (next.getDraining() && !known.getDraining()) {
			this.dispatcher.listener().hostChanged(host.name(), "draining", "worker " + next.getId());
		}
		host.worker(next);
		if (next.getLeft()) {
			loseRuns(host, WORKER_LEFT, WorkerDescription.getDefaultInstance(), Set.of(), Evidence.of(report));
		}
	}

	/**
	 * Declares the runs of a worker lost after its agent has recorded the end of the
	 * worker.
	 * @param name the name of the host
	 * @param departure the recorded end of the worker
	 */
	public void departed(String name, Departure departure) {
		HostState host = this.dispatcher.host(name);
		host.departure(departure);
		Evidence evidence = Evidence.of(departure, this.dispatcher.clock().millis());
		for (Placement placement : List.copyOf(host.placements().values())) {
			TaskProgress task = placement.task();
			if (placement.phase() != Placement.Phase.RECORDING
					&& departure.endsRunsOf(task.worker(), task.workerStartMillis())) {
				loseRun(host, placement, WORKER_LEFT, evidence);
			}
		}
	}

	/**
	 * Declares the runs lost on each host whose lease has lapsed.
	 * @param unreachableTimeout how long a host that never reported to this leader may
	 * still run tasks after former leaders could extend its lease
	 * @param formerExtensionsEndNanos until when former leaders may have extended leases,
	 * in nanoseconds of the process clock
	 */
	public void expireLeases(Duration unreachableTimeout, long formerExtensionsEndNanos) {
		long now = this.dispatcher.clock().nanoTime();
		for (HostState host : this.dispatcher.hosts()) {
			if (host.placements().isEmpty() && host.unassignedRuns().isEmpty()) {
				continue;
			}
			boolean hasLease = host.leaseStarted();
			boolean waitsForFormerLeaders = !hasLease || formerLeadersMayExtend(host);
			long lastExtension = waitsForFormerLeaders ? formerExtensionsEndNanos : host.lastExtensionNanos();
			Duration elapsed = Duration.ofNanos(now - lastExtension);
			if (elapsed.compareTo(hasLease ? this.dispatcher.settings().leaseTimeout() : unreachableTimeout) > 0) {
				List<Placement> lapsed = host.placements()
					.values()
					.stream()
					.filter((placement) -> placement.current() && placement.phase() != Placement.Phase.RECORDING)
					.toList();
				loseRuns(host, LEASE_LAPSED, host.worker(), Set.of(), Evidence.ofTimeout(elapsed,
						waitsForFormerLeaders ? EvidenceBasis.FORMER_LEADERS : host.leaseBasis()));
				this.crashAttribution.countUnresolved(host, lapsed);
				host.unassignedRuns().clear();
			}
		}
	}

	/**
	 * Returns whether a former leader may have extended a lease of a host later than this
	 * leader did. That this leader has heard the host does not exclude it: an agent that
	 * restarts without an answer of the store follows whichever leader reaches it first.
	 * @param host the host
	 * @return false if the worker rejects the calls for former leaders, or if they
	 * extended no lease after the last extension by this leader
	 */
	private boolean formerLeadersMayExtend(HostState host) {
		return !host.formerLeadersExcluded()
				&& this.formerExtensionsEndNanos.orElse(Long.MIN_VALUE) > host.lastExtensionNanos();
	}

	/**
	 * Returns the runs that a report lists as running, pending or ended. A start order
	 * that is in flight while its worker restarts is carried out by the new incarnation
	 * if the worker kept its identity.
	 * @param report the report
	 * @return the tasks with the numbers of their runs
	 */
	private static Set<ListedRun> listedRuns(HostReport report) {
		Set<ListedRun> listedRuns = new HashSet<>();
		report.getRunningList()
			.forEach((run) -> listedRuns.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		report.getPendingList()
			.forEach((run) -> listedRuns.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		report.getEndedList()
			.forEach((run) -> listedRuns.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		return listedRuns;
	}

	private void loseRuns(HostState host, String reason, WorkerDescription currentWorker, Set<ListedRun> listedRuns,
			Evidence evidence) {
		for (Placement placement : List.copyOf(host.placements().values())) {
			if (listedRuns.contains(new ListedRun(placement.task().key(), placement.run()))) {
				continue;
			}
			boolean recording = placement.phase() == Placement.Phase.RECORDING;
			boolean onCurrentWorker = placement.assignedTo(currentWorker);
			if (recording || (onCurrentWorker && !reason.equals(LEASE_LAPSED))) {
				continue;
			}
			loseRun(host, placement, reason, evidence);
		}
	}

	private void loseRun(HostState host, Placement placement, String reason, Evidence evidence) {
		TaskProgress task = placement.task();
		host.placements().remove(task.key());
		if (placement.current()) {
			task.loseRun();
			this.dispatcher.markChanged(task.key());
			this.dispatcher.listener()
				.runLost(task, placement.run(), host.name(), reason, evidence, placement.observedRunTime());
			this.dispatcher.markInterrupted(task, placement.run(), host);
			if (!placement.listed() && placement.phase() != Placement.Phase.INHERITED) {
				this.dispatcher.markStartFailed(placement, host, reason);
			}
		}
	}

	private void processEnds(HostState host, HostReport report) {
		boolean processed = false;
		for (EndedTask ended : report.getEndedList()) {
			if (ended.getNumber() <= host.processedEnds()) {
				continue;
			}
			host.processedEnds(ended.getNumber());
			processed = true;
			processEnd(host, ended, Evidence.of(report));
		}
		if (processed) {
			this.dispatcher.markEndsProcessed(host);
		}
	}

	private void processEnd(HostState host, EndedTask ended, Evidence evidence) {
		TaskKey key = TaskNames.key(ended.getTask());
		Placement placement = host.placements().get(key);
		if (placement != null && placement.run() == ended.getRun()) {
			host.placements().remove(key);
			if (!placement.listed() && placement.phase() != Placement.Phase.INHERITED) {
				host.startBackOff().runListed();
			}
		}
		Optional<JobProgress> job = this.dispatcher.job(key.job());
		TaskProgress task = job.map((found) -> found.task(key)).orElse(null);
		if (job.isEmpty() || task == null) {
			ignoreEnd(key, ended, host, "the task is not known");
			return;
		}
		this.dispatcher.markBegun(key, ended.getRun(), host, evidence);
		boolean done = ended.getKind().equals("done");
		boolean failed = ended.getKind().equals("failed");
		if (done || failed) {
			boolean suspected = host.recordOutcome(failed, this.dispatcher.clock().nanoTime());
			if (suspected) {
				this.dispatcher.listener().hostChanged(host.name(), "suspected", "consecutive task failures");
			}
		}
		if (task.run() != ended.getRun()) {
			ignoreEnd(key, ended, host, "the task is at run " + task.run());
		}
		else if (task.status() == TaskStatus.PLACED || task.status() == TaskStatus.WAITING_AFTER_LOSS) {
			this.dispatcher.markListed(task, evidence.age());
			applyEnd(job.get(), task, ended, host.name());
			this.dispatcher.markInterrupted(task, ended.getRun(), host);
		}
		else {
			ignoreEnd(key, ended, host, "an end of this run is recorded");
		}
	}

	private void ignoreEnd(TaskKey task, EndedTask ended, HostState host, String reason) {
		this.dispatcher.listener().endIgnored(task, ended.getRun(), host.name(), ended.getKind(), reason);
	}

	private void applyEnd(JobProgress job, TaskProgress task, EndedTask ended, String host) {
		task.saveCheckpoint(ended.getCheckpoint());
		if (ended.getKind().equals("done") || ended.getKind().equals("failed")) {
			this.crashAttribution.clear(task, "its run ended as " + ended.getKind());
		}
		boolean failed = ended.getKind().equals("failed");
		if (ended.getKind().equals("done") && !task.step().lasting()) {
			completeTask(job, task);
		}
		else {
			task.endRun(failed);
		}
		this.dispatcher.markChanged(task.key());
		this.dispatcher.listener().runEnded(task, ended.getRun(), host, ended.getKind());
		if (job.state().terminal()) {
			return;
		}
		if (job.allDone()) {
			this.dispatcher.endJob(job, JobState.COMPLETED, "all tasks are done");
		}
		else if (failed && !task.step().lasting()) {
			int allowed = this.dispatcher.queueOf(job).map(Queue::attempts).orElse(Integer.MAX_VALUE);
			if (task.failures() >= allowed) {
				this.dispatcher.endJob(job, JobState.FAILED,
						"task " + task.key() + " failed " + task.failures() + " times");
			}
		}
	}

	private void completeTask(JobProgress job, TaskProgress task) {
		task.complete();
		if (task.step().gang()) {
			// The end of one member completes the whole gang.
			for (TaskProgress member : job.tasks(task.key().occurrence(), task.key().step())) {
				member.complete();
				this.dispatcher.markChanged(member.key());
			}
		}
	}

	private void processRuns(HostState host, HostReport report, long now, boolean newAgent) {
		Set<TaskKey> listedTasks = new HashSet<>();
		host.unassignedRuns().clear();
		boolean listsLapsed = listsLapsed(report);
		Map<String, Double> pressures = new HashMap<>();
		Set<String> settledServices = new HashSet<>();
		Map<String, Double> shares = new HashMap<>();
		List<RunningTask> reportedRuns = new ArrayList<>(report.getRunningList());
		reportedRuns.addAll(report.getPendingList());
		recordListedRuns(host, report);
		for (RunningTask running : reportedRuns) {
			TaskKey key = TaskNames.key(running.getTask());
			Placement placement = host.placements().get(key);
			if (placement != null && placement.run() == running.getRun()) {
				listedTasks.add(key);
				placement.task().saveCheckpoint(running.getCheckpoint());
				placement.reported(running, now);
				StepSpecification step = placement.task().step();
				if (!step.tailTarget().isZero()) {
					pressures.merge(step.image(), pressure(step, running), Math::max);
					if (placement.observedRunTime().compareTo(DispatchSettings.SERVICE_SETTLING) >= 0) {
						settledServices.add(step.image());
					}
				}
				if (step.filler()) {
					shares.merge(step.image(), running.getLoad() / (double) Math.max(1, host.worker().getMilliCores()),
							Double::sum);
				}
			}
			else if (!listsLapsed) {
				this.dispatcher.job(key.job())
					.map((job) -> job.task(key))
					.ifPresent((task) -> host.unassignedRuns().put(key, task.step()));
			}
		}
		pressures.replaceAll((service, pressure) -> settledServices.contains(service) ? pressure
				: Math.max(pressure, this.imagePressure.basePressure(service)));
		host.servicePressures(pressures);
		host.decayExpectedIncreases(now);
		// Without the capacity, the shares of it that fillers use are unknown.
		if (host.worker().getMilliCores() > 0) {
			for (String service : settledServices) {
				double pressure = pressures.get(service);
				if (pressure > 0) {
					this.imagePressure.observe(service, pressure, shares);
				}
			}
		}
		if (!report.getEndsFollow()) {
			loseMissingRuns(host, report, listedTasks, newAgent);
		}
	}

	/**
	 * Returns whether the lease of each run in the lists of a report has lapsed, whether
	 * or not this leader has extended it. The lists of a silent worker stay in the
	 * reports of its agent, and say nothing about what runs then.
	 * @param report the report
	 * @return true if none of the listed runs can still run
	 */
	private boolean listsLapsed(HostReport report) {
		// The age of the lists includes jumps of the wall clock, so it may be too long.
		return report.getLeaseBasisAgeMillis() > this.dispatcher.settings().leaseTimeout().toMillis();
	}

	private void recordListedRuns(HostState host, HostReport report) {
		// The lease stamp is the worker's clock when it returned the lists.
		long listedMillis = report.getLeaseStamp();
		Evidence evidence = Evidence.of(report);
		for (RunningTask running : report.getRunningList()) {
			TaskKey key = TaskNames.key(running.getTask());
			// The run may have been declared lost or belong to an earlier assignment.
			this.dispatcher.markBegun(key, running.getRun(), host, evidence);
			Placement placement = host.placements().get(key);
			if (placement != null && placement.run() == running.getRun()) {
				if (!placement.listed() && placement.phase() != Placement.Phase.INHERITED) {
					host.startBackOff().runListed();
				}
				placement.listedRunning(running, listedMillis);
				this.dispatcher.markListed(placement.task(), evidence.age());
				if (report.getWorkerAnswers()) {
					noteRegained(placement, host, evidence);
				}
				this.crashAttribution.clearIfOutlived(placement);
			}
		}
	}

	private void noteRegained(Placement placement, HostState host, Evidence evidence) {
		// A run that is only confirmed is not the next run.
		this.dispatcher.unavailability()
			.listed(placement.task())
			.filter((interruption) -> placement.run() > interruption.run())
			.ifPresent((interruption) -> this.dispatcher.listener()
				.taskRegained(placement.task(),
						new RegainedTask(host.name(),
								Duration.ofNanos(this.dispatcher.clock().nanoTime() - interruption.sinceNanos()),
								interruption.inherited(), evidence)));
	}

	private static double pressure(StepSpecification step, RunningTask running) {
		return step.tailTarget().isZero() ? 0 : running.getLoad() / (double) step.tailTarget().toMillis();
	}

	private void loseMissingRuns(HostState host, HostReport report, Set<TaskKey> listedTasks, boolean newAgent) {
		Map<TaskKey, String> refusals = new HashMap<>();
		for (RefusedStart refused : report.getRefusedList()) {
			refusals.put(TaskNames.key(refused.getTask()), refused.getReason());
		}
		for (Placement placement : List.copyOf(host.placements().values())) {
			TaskKey key = placement.task().key();
			boolean gone = switch (placement.phase()) {
				case RECORDING -> false;
				case ORDERED -> report.getHandledOrder() >= placement.orderNumber();
				case INHERITED, REPORTED -> true;
			};
			if (!gone || listedTasks.contains(key)) {
				continue;
			}
			String refusal = refusals.get(key);
			// An order may be lost with its connection or with its agent, and an agent
			// refuses starts for reasons that do not concern the worker.
			if (!newAgent && placement.orderedOn(host.connections()) && !placement.listed() && !placement.stopOrdered()
					&& (refusal == null || RefusalKind.of(refusal) == RefusalKind.WORKER)) {
				noteFailedStart(host);
			}
			if (refusal != null && placement.current()) {
				this.dispatcher.listener().startRefused(placement.task(), placement.run(), host.name(), refusal);
			}
			loseRun(host, placement, (refusal != null) ? refusal : "not running", Evidence.of(report));
		}
	}

	private void noteFailedStart(HostState host) {
		long now = this.dispatcher.clock().nanoTime();
		boolean newlyDoubtful = !host.startBackOff().doubtful(now);
		host.startBackOff().startFailed(now);
		if (newlyDoubtful) {
			this.dispatcher.listener().hostChanged(host.name(), "doubtful", "a start has led to no run");
		}
	}

	private List<StopOrder> runsToStop(HostState host, HostReport report, long now) {
		if (listsLapsed(report)) {
			return List.of();
		}
		List<StopOrder> stops = new ArrayList<>();
		List<RunningTask> reportedRuns = new ArrayList<>(report.getRunningList());
		reportedRuns.addAll(report.getPendingList());
		for (RunningTask running : reportedRuns) {
			String reason = stopReason(host, running, now);
			if (!reason.isEmpty()) {
				stops.add(StopOrder.newBuilder()
					.setTask(running.getTask())
					.setRun(running.getRun())
					.setReason(reason)
					.build());
			}
		}
		return stops;
	}

	/**
	 * Returns why a reported run is stopped.
	 * @param host the host
	 * @param running the run
	 * @param now the current time
	 * @return the reason; empty if the run continues
	 */
	private String stopReason(HostState host, RunningTask running, long now) {
		TaskKey key = TaskNames.key(running.getTask());
		Placement placement = host.placements().get(key);
		if (placement == null || placement.run() != running.getRun() || !placement.current()) {
			return "not assigned to this host";
		}
		if (this.dispatcher.job(key.job()).filter((job) -> !job.state().terminal()).isEmpty()) {
			return "the job has ended";
		}
		String reason = "";
		if (stalled(host, placement, now)) {
			reason = "stalled";
		}
		else if (this.dispatcher.roomForServices().stops(placement)) {
			reason = RoomForServices.STOP_REASON;
		}
		else if (this.dispatcher.serviceMoves().stops(placement, now)) {
			reason = "moved to free the worker for fillers";
		}
		else if (shouldResumeElsewhere(host, placement, now)) {
			host.backOff(placement.task().step().image(), now);
			reason = "slow beside services";
		}
		if (!reason.isEmpty() && placement.markStopOrdered()) {
			this.dispatcher.listener()
				.runStopped(placement.task(), placement.run(), host.name(), reason,
						new StopEvidence(running.getPace(), host.pressure(), placement.age(now)));
		}
		return reason;
	}

	private boolean hasFreeWorker(HostState host, StepSpecification step) {
		for (HostState other : this.dispatcher.hosts()) {
			if (other != host && this.dispatcher.schedulable(other)
					&& !other.startBackOff().doubtful(this.dispatcher.clock().nanoTime()) && !other.runsService()
					&& other.worker().getService().equals(host.worker().getService())
					&& other.freeFillerMilliCores() >= step.milliCores() * DispatchSettings.MINIMUM_FILLER_SHARE
					&& other.freeMemoryMegabytes() >= step.memoryMegabytes()) {
				return true;
			}
		}
		return false;
	}

	// Returns whether a filler should go on elsewhere, because it gets only a low pace
	// next to the services on its worker. Little or none of its work is lost.
	private boolean shouldResumeElsewhere(HostState host, Placement placement, long now) {
		RunningTask report = placement.report();
		return report != null && placement.task().step().filler()
				&& (placement.task().step().checkpointing()
						|| report.getProgress() <= DispatchSettings.MAXIMUM_DISCARDED_PROGRESS)
				&& host.runsService() && report.getPace() < DispatchSettings.MINIMUM_FILLER_PACE
				&& (hasFreeWorker(host, placement.task().step())
						|| (placement.slowFor(DispatchSettings.SLOW_FILLER_TIMEOUT, now)
								&& !this.dispatcher.hasSpareCapacity(host.worker().getService())));
	}

	/**
	 * Returns the runs assigned to a host that belong to ended jobs.
	 * @param name the name of the host
	 * @return the runs to stop
	 */
	public List<StopOrder> runsOfEndedJobs(String name) {
		List<StopOrder> stops = new ArrayList<>();
		for (Placement placement : this.dispatcher.host(name).placements().values()) {
			TaskKey key = placement.task().key();
			if (this.dispatcher.job(key.job()).filter((job) -> !job.state().terminal()).isEmpty()) {
				stops.add(StopOrder.newBuilder()
					.setTask(TaskNames.name(key))
					.setRun(placement.run())
					.setReason("the job has ended")
					.build());
			}
		}
		return stops;
	}

	/**
	 * Returns the number of the newest start order for a host.
	 * @param name the name of the host
	 * @return the number; 0 if there was none
	 */
	public long newestOrder(String name) {
		return this.dispatcher.host(name).newestOrder();
	}

	/**
	 * Returns the start of the current incarnation of a host's worker.
	 * @param name the name of the host
	 * @return the Unix time in milliseconds; 0 if no worker was reported
	 */
	public long workerBorn(String name) {
		return this.dispatcher.host(name).worker().getBorn();
	}

	/**
	 * Returns the number up to which the ends of runs on a host are recorded.
	 * @param name the name of the host
	 * @return the number; 0 if no end is recorded
	 */
	public long recordedEnds(String name) {
		return this.dispatcher.host(name).recordedEnds();
	}

	private boolean stalled(HostState host, Placement placement, long now) {
		StepSpecification step = placement.task().step();
		RunningTask report = placement.report();
		if (step.lasting() || step.gang() || report == null || report.getPace() < STALL_MINIMUM_PACE
				|| placement.timeWithoutProgress().compareTo(STALL_TIMEOUT) < 0) {
			return false;
		}
		if (host.quarantined(now)) {
			return true;
		}
		host.quarantine(now);
		this.dispatcher.listener()
			.hostChanged(host.name(), "suspected", "task " + placement.task().key() + " made no progress beyond "
					+ report.getProgress() + "% for " + placement.timeWithoutProgress().toMillis() + " ms");
		return true;
	}

	private List<TraitsOfRun> traits(HostState host, HostReport report) {
		List<TraitsOfRun> traits = new ArrayList<>();
		for (RunningTask running : report.getRunningList()) {
			Placement placement = host.placements().get(TaskNames.key(running.getTask()));
			if (placement != null) {
				traits.add(TraitsOfRun.newBuilder()
					.setTask(running.getTask())
					.setRun(running.getRun())
					.setTraits(this.dispatcher.traits(placement.task().step(), host))
					.build());
			}
		}
		return traits;
	}

	/**
	 * A run in a report.
	 *
	 * @param task the task
	 * @param run the number of the run
	 */
	private record ListedRun(TaskKey task, int run) {
	}

	/**
	 * Answer to a report.
	 *
	 * @param leaseStamp the lease stamp of the report if the lease is extended, otherwise
	 * 0
	 * @param recordedEnds the number up to which ends of runs are recorded
	 * @param stops the runs to stop
	 * @param traits the traits that the agent needs of runs that its current incarnation
	 * did not start
	 */
	public record Response(long leaseStamp, long recordedEnds, List<StopOrder> stops, List<TraitsOfRun> traits) {

		private static final Response NONE = new Response(0, 0, List.of(), List.of());

		public Response {
			stops = List.copyOf(stops);
			traits = List.copyOf(traits);
		}

	}

}
